/** Counts what the answers that are being read make the process hold. */
export class HeldAnswers {
  private answerCount = 0;

  private byteCount = 0;

  private pieceCount = 0;

  /** Number of answers, their bytes, and the buffers in which these are kept. */
  get use(): { readonly answers: number; readonly bytes: number; readonly pieces: number } {
    return { answers: this.answerCount, bytes: this.byteCount, pieces: this.pieceCount };
  }

  /**
   * Records a change.
   *
   * @param answers - Change of the number of answers.
   * @param bytes - Change of the bytes.
   * @param pieces - Change of the number of buffers.
   */
  change(answers: number, bytes: number, pieces: number): void {
    this.answerCount += answers;
    this.byteCount += bytes;
    this.pieceCount += pieces;
  }
}
