/**
 * Order in which endpoints answer the streams of this gateway. An endpoint that answers later requests
 * but not an earlier one will most likely never answer that one, whatever its reports say.
 */
export class AnswerOrder {
  /** Time at which the latest answered stream of each incarnation was sent, in monotonic milliseconds. */
  private readonly latestAnsweredSendMs = new Map<string, number>();

  /**
   * Records the first event of a stream.
   *
   * @param incarnation - Key of the endpoint's incarnation.
   * @param sentAtMs - Time at which the stream was sent, in monotonic milliseconds.
   */
  recordAnswer(incarnation: string, sentAtMs: number): void {
    const latestMs = this.latestAnsweredSendMs.get(incarnation) ?? Number.NEGATIVE_INFINITY;
    this.latestAnsweredSendMs.set(incarnation, Math.max(latestMs, sentAtMs));
  }

  /**
   * Returns whether an endpoint has answered a stream that was sent later.
   *
   * @param incarnation - Key of the endpoint's incarnation.
   * @param sentAtMs - Time at which the unanswered stream was sent, in monotonic milliseconds.
   */
  isOvertaken(incarnation: string, sentAtMs: number): boolean {
    return (this.latestAnsweredSendMs.get(incarnation) ?? Number.NEGATIVE_INFINITY) > sentAtMs;
  }

  /** Forgets an incarnation that is gone. */
  forget(incarnation: string): void {
    this.latestAnsweredSendMs.delete(incarnation);
  }
}
