/** A scheduled event; `order` decides between events of the same time. */
interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Virtual time with an event queue; events of the same time run in the order of scheduling. */
export class VirtualClock {
  now = 0;

  private events: Event[] = [];

  private order = 0;

  /** Schedules `run` after `delay` milliseconds. */
  schedule(delay: number, run: () => void): void {
    this.order += 1;
    this.events.push({ at: this.now + delay, order: this.order, run });
  }

  /** Advances the time to `until` and runs the events that become due. */
  advanceTo(until: number): void {
    for (;;) {
      const due = this.events
        .filter(({ at }) => at <= until)
        .sort((a, b) => a.at - b.at || a.order - b.order)[0];
      if (!due) break;
      this.events = this.events.filter((event) => event !== due);
      this.now = Math.max(this.now, due.at);
      due.run();
    }
    this.now = until;
  }
}
