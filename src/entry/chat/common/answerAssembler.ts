import { createHash } from 'node:crypto';
import type { TokenMessage } from '../../../services/link/common/messages.js';

/** Count and digest of a whole answer, so that the caller can check it. */
export interface AnswerSummary {
  readonly tokens: number;
  /** SHA-256 of the answer's text, as hexadecimal digits. */
  readonly digest: string;
}

/** Puts the tokens of an answer in order and drops repeated ones. */
export class AnswerAssembler {
  private readonly delivered: number[] = [];

  private readonly early = new Map<number, TokenMessage>();

  private readonly hash = createHash('sha256');

  private ended = false;

  /** Tokens that were delivered, in order. */
  get tokens(): readonly number[] {
    return this.delivered;
  }

  /** True once the last token was delivered. */
  get whole(): boolean {
    return this.ended;
  }

  /**
   * Takes a token of the current epoch.
   *
   * @param message - The token.
   * @returns Tokens that can be delivered now, in order.
   */
  accept(message: TokenMessage): readonly TokenMessage[] {
    if (this.ended || message.step < this.delivered.length) {
      return [];
    }
    this.early.set(message.step, message);
    const ready: TokenMessage[] = [];
    let next = this.early.get(this.delivered.length);
    while (next !== undefined && !this.ended) {
      this.early.delete(next.step);
      this.deliver(next);
      ready.push(next);
      next = this.early.get(this.delivered.length);
    }
    return ready;
  }

  /** Forgets tokens that came early; they belong to an epoch that has ended. */
  beginEpoch(): void {
    this.early.clear();
  }

  /**
   * Sums the answer up; call this once, after the last token.
   *
   * @returns Count and digest of what was delivered.
   */
  summary(): AnswerSummary {
    return { tokens: this.delivered.length, digest: this.hash.digest('hex') };
  }

  private deliver(token: TokenMessage): void {
    this.delivered.push(token.token);
    this.hash.update(token.text);
    this.ended = token.end;
  }
}
