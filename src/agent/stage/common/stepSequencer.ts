/** What a stage does with a step that arrived. */
export enum StepDecision {
  /** Run it now. */
  Run = 'run',
  /** It ran before and its output is kept: send the output again. */
  Resend = 'resend',
  /** It came early and is held until the steps before it have run. */
  Hold = 'hold',
  /** It is of an old epoch, is running, or is superseded: drop it. */
  Drop = 'drop',
}

/** Step as it arrives at a stage. */
export interface ArrivedStep<T> {
  readonly epoch: number;
  readonly step: number;
  readonly input: T;
}

/**
 * Orders the steps of one attempt at one stage: each step runs once in an epoch, after the step
 * before it, and only in the newest epoch seen.
 */
export class StepSequencer<T> {
  private epoch = 0;

  /** Step that may run next; undefined until the epoch's first step arrived. */
  private nextStep: number | undefined;

  private running = false;

  private readonly held = new Map<number, ArrivedStep<T>>();

  /** Newest epoch seen. */
  get currentEpoch(): number {
    return this.epoch;
  }

  /**
   * Decides what to do with a step.
   *
   * @param arrived - The step.
   * @param first - True if this is the first step of its epoch's chain.
   * @returns The decision; after `Run` the caller must call `finish`.
   */
  accept(arrived: ArrivedStep<T>, first: boolean): StepDecision {
    if (arrived.epoch < this.epoch) {
      return StepDecision.Drop;
    }
    if (arrived.epoch > this.epoch) {
      this.beginEpoch(arrived.epoch);
    }
    if (this.nextStep === undefined && first) {
      this.nextStep = arrived.step;
    }
    if (this.nextStep === undefined || arrived.step > this.nextStep) {
      this.held.set(arrived.step, arrived);
      return StepDecision.Hold;
    }
    if (arrived.step === this.nextStep) {
      if (this.running) {
        return StepDecision.Drop;
      }
      this.running = true;
      return StepDecision.Run;
    }
    const isNewest = arrived.step === this.nextStep - 1;
    return isNewest && !this.running ? StepDecision.Resend : StepDecision.Drop;
  }

  /**
   * Records that the running step of an epoch ended.
   *
   * @param epoch - Epoch in which it ran.
   * @param step - The step.
   * @returns False if a newer epoch began meanwhile, so that the output must be dropped.
   */
  finish(epoch: number, step: number): boolean {
    if (epoch !== this.epoch || this.nextStep !== step) {
      return false;
    }
    this.running = false;
    this.nextStep = step + 1;
    return true;
  }

  /**
   * Takes the held step that may run now, if any.
   *
   * @returns The step, to be passed to `accept`.
   */
  takeHeld(): ArrivedStep<T> | undefined {
    if (this.nextStep === undefined || this.running) {
      return undefined;
    }
    const held = this.held.get(this.nextStep);
    this.held.delete(this.nextStep);
    return held;
  }

  private beginEpoch(epoch: number): void {
    this.epoch = epoch;
    this.nextStep = undefined;
    this.running = false;
    this.held.clear();
  }
}
