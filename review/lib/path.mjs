/** A TCP path between two processes, which a test may cut or darken. */
import { connect, createServer } from 'node:net';

/** Forwards connections to a port. */
export class Path {
  /** While true, bytes and ends of connections are held, in both directions. */
  isCut = false;

  pairs = new Set();

  constructor(findTarget) {
    this.findTarget = findTarget;
    this.server = createServer((socket) => this.accept(socket));
  }

  async listen(port) {
    this.port = port;
    await new Promise((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
  }

  cut() {
    this.isCut = true;
  }

  heal() {
    this.isCut = false;
    this.pairs.forEach((pair) => pair.flush());
  }

  /**
   * The machine that opened the present connections loses power: the other end hears nothing more
   * of it. Once the machine is back, it answers what still arrives on them with a reset.
   */
  losePower() {
    this.pairs.forEach((pair) => pair.losePower());
  }

  returnPower() {
    this.pairs.forEach((pair) => pair.returnPower());
  }

  close() {
    this.pairs.forEach((pair) => pair.destroy());
    this.server.close();
  }

  accept(near) {
    const held = [];
    let power = 'on';
    let far;
    const act = (action) => {
      if (this.isCut) held.push(action);
      else action();
    };
    const pair = {
      destroy: () => {
        near.destroy();
        far?.destroy();
        this.pairs.delete(pair);
      },
      flush: () => held.splice(0).forEach((action) => action()),
      losePower: () => {
        power = 'lost';
      },
      returnPower: () => {
        if (power === 'lost') power = 'returned';
      },
    };
    this.pairs.add(pair);
    near.setNoDelay(true);
    near.on('error', () => undefined);
    act(() => {
      far = connect({ host: '127.0.0.1', port: this.findTarget() });
      far.setNoDelay(true);
      far.on('error', () => near.destroy());
      far.on('data', (chunk) => {
        if (power === 'returned') far.resetAndDestroy();
        else if (power === 'on') act(() => near.write(chunk));
      });
      far.on('close', () => {
        this.pairs.delete(pair);
        if (power === 'on') act(() => near.end());
      });
    });
    near.on('data', (chunk) => {
      if (power === 'on') act(() => far.write(chunk));
    });
    near.on('close', () => {
      if (power === 'on') act(() => far?.end());
    });
  }
}
