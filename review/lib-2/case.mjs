/** What the cases have in common: the record, the time limit, and what they start and end. */
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { servePromotions, serveStore, Store } from './store.mjs';
import { Machine } from './vm.mjs';

const TIME_LIMIT_MS = 115_000;
/** Exit codes of a case. */
const CODES = { held: 0, broken: 1, failed: 2 };

/** False when the case is to run without its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** One run of a case. */
export class Case {
  store = new Store();

  machines = [];

  groups = [];

  /** False while calls to `POST /promotions` get no answer and do nothing. */
  arePromotionsAnswered = true;

  /** `url` is `import.meta.url` of the case. */
  constructor(url) {
    this.out = createWriteStream(join(fileURLToPath(new URL('.', url)), 'record.txt'));
    this.startedAt = Date.now();
    this.record = (text) => {
      const seconds = ((Date.now() - this.startedAt) / 1_000).toFixed(2).padStart(7);
      this.out.write(`${seconds} ${text}\n`);
      process.stdout.write(`${seconds} ${text}\n`);
    };
  }

  /** Writes the configuration and starts the store and the promotion service. */
  async open(configuration) {
    this.store.put('config', 'main', configuration);
    const { port: storePort } = await serveStore(this.store);
    const promote = (service, id) =>
      this.groups.find(({ name }) => name === service)?.promote(id) ?? false;
    const isAnswering = () => this.arePromotionsAnswered;
    const { port: promotionPort } = await servePromotions(promote, this.record, isAnswering);
    this.ports = { storePort, promotionPort };
  }

  async addGroup(group, zones) {
    this.groups.push(group);
    await group.start(zones);
    return group;
  }

  async addMachine(options) {
    const machine = new Machine({ ...this.ports, record: this.record, ...options });
    this.machines.push(machine);
    await machine.open();
    return machine;
  }

  /** Runs the case; `check` returns what breaks the rule, or undefined. */
  async run(check) {
    const timer = setTimeout(
      () => this.finish('failed', 'the time limit has passed'),
      TIME_LIMIT_MS,
    );
    try {
      const broken = await check();
      clearTimeout(timer);
      await this.finish(broken ? 'broken' : 'held', broken ?? 'the rule held');
    } catch (error) {
      await this.finish('failed', `the case could not run: ${error.stack}`);
    }
  }

  /** Ends all that the case has started, and the case. */
  async finish(result, text) {
    this.record(`${result}: ${text}`);
    this.groups.forEach((group) => group.stop());
    await Promise.all(this.machines.map((machine) => machine.close()));
    this.out.end();
    await once(this.out, 'finish');
    // Connections and timers of the stand-ins would keep the process alive.
    // eslint-disable-next-line n/no-process-exit
    process.exit(CODES[result]);
  }
}
