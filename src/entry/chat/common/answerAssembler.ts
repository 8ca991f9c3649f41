import { createHash } from 'node:crypto';
import type { TokenMessage } from '../../../services/link/common/messages.js';

/** Token count and digest of a complete answer, so that the caller can verify it. */
export interface AnswerSummary {
  readonly tokens: number;
  /** SHA-256 of the answer's text, as hexadecimal digits. */
  readonly digest: string;
}

/** Orders the tokens of an answer and drops duplicates. */
export class AnswerAssembler {
  private readonly delivered: number[] = [];

  private readonly outOfOrder = new Map<number, TokenMessage>();

  private readonly hash = createHash('sha256');

  private hasEnded = false;

  /** @param maxTokens - Largest number of tokens; an agent may send others, which are ignored. */
  constructor(private readonly maxTokens: number) {}

  /** Ids of the delivered tokens, in order. */
  get tokens(): readonly number[] {
    return this.delivered;
  }

  /** True once the last token was delivered. */
  get isComplete(): boolean {
    return this.hasEnded;
  }

  /**
   * Accepts a token of the current epoch, in any order.
   *
   * @param message - The token.
   * @returns Tokens that can be delivered now, in order.
   */
  accept(message: TokenMessage): readonly TokenMessage[] {
    const { step } = message;
    if (this.hasEnded || step < this.delivered.length || step >= this.maxTokens) {
      return [];
    }
    this.outOfOrder.set(step, message);
    const ready: TokenMessage[] = [];
    let next = this.outOfOrder.get(this.delivered.length);
    while (next !== undefined && !this.hasEnded) {
      this.outOfOrder.delete(next.step);
      this.deliver(next);
      ready.push(next);
      next = this.outOfOrder.get(this.delivered.length);
    }
    return ready;
  }

  /** Drops buffered out-of-order tokens, since they belong to an epoch that has ended. */
  beginEpoch(): void {
    this.outOfOrder.clear();
  }

  /**
   * Computes the summary of the answer; call this only once, after the last token.
   *
   * @returns Count and digest of the delivered tokens.
   */
  summary(): AnswerSummary {
    return { tokens: this.delivered.length, digest: this.hash.digest('hex') };
  }

  private deliver(token: TokenMessage): void {
    this.delivered.push(token.token);
    this.hash.update(token.text);
    this.hasEnded = token.end;
  }
}
