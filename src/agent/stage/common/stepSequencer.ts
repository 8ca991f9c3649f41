/** How a stage handles a step that has arrived. */
export enum StepDecision {
  /** Run the step now. */
  Run = 'run',
  /** The step has run and its output is kept: resend the output. */
  Resend = 'resend',
  /** The step is early: hold it until the steps before it have run. */
  Hold = 'hold',
  /** The step belongs to an old epoch, is running, or is superseded: discard it. */
  Drop = 'drop',
}

/** Step received by a stage. */
export interface ArrivedStep<T> {
  readonly epoch: number;
  readonly step: number;
  readonly input: T;
}

/**
 * Orders the steps of one attempt at one stage. Each step runs once per epoch, after the step
 * before it, and only in the newest epoch seen.
 */
export class StepSequencer<T> {
  private newestEpoch = 0;

  /** Step that may run next; undefined until the first step of the epoch has arrived. */
  private nextStep: number | undefined;

  private isRunning = false;

  private readonly heldSteps = new Map<number, ArrivedStep<T>>();

  /** Newest epoch seen. */
  get currentEpoch(): number {
    return this.newestEpoch;
  }

  /**
   * Decides what to do with a step.
   *
   * @param arrived - Step that arrived.
   * @param isFirstStep - True if this is the first step that passes through the chain in its epoch.
   * @returns The decision; after `Run` the caller must call {@link finish} when the step has ended.
   */
  accept(arrived: ArrivedStep<T>, isFirstStep: boolean): StepDecision {
    if (arrived.epoch < this.newestEpoch) {
      return StepDecision.Drop;
    }
    if (arrived.epoch > this.newestEpoch) {
      this.beginEpoch(arrived.epoch);
    }
    if (this.nextStep === undefined && isFirstStep) {
      this.nextStep = arrived.step;
    }
    if (this.nextStep === undefined || arrived.step > this.nextStep) {
      this.heldSteps.set(arrived.step, arrived);
      return StepDecision.Hold;
    }
    if (arrived.step === this.nextStep) {
      if (this.isRunning) {
        return StepDecision.Drop;
      }
      this.isRunning = true;
      return StepDecision.Run;
    }
    const isNewest = arrived.step === this.nextStep - 1;
    return isNewest && !this.isRunning ? StepDecision.Resend : StepDecision.Drop;
  }

  /**
   * Records that the running step of an epoch has ended.
   *
   * @param epoch - Epoch in which the step ran.
   * @param step - Position of the step.
   * @returns False if a newer epoch has begun, so that the output must be discarded.
   */
  finish(epoch: number, step: number): boolean {
    if (epoch !== this.newestEpoch || this.nextStep !== step) {
      return false;
    }
    this.isRunning = false;
    this.nextStep = step + 1;
    return true;
  }

  /**
   * Removes and returns the held step that may run now, if any.
   *
   * @returns The step, to be passed to {@link accept}.
   */
  takeHeld(): ArrivedStep<T> | undefined {
    if (this.nextStep === undefined || this.isRunning) {
      return undefined;
    }
    const held = this.heldSteps.get(this.nextStep);
    this.heldSteps.delete(this.nextStep);
    return held;
  }

  private beginEpoch(epoch: number): void {
    this.newestEpoch = epoch;
    this.nextStep = undefined;
    this.isRunning = false;
    this.heldSteps.clear();
  }
}
