import { ConnectionError } from '@shallotpick/engine';
import { SoakCaller } from './caller.js';
import type { CallerSession } from './callersession.js';
import { SoakOperator } from './operator.js';

/**
 * A caller of short sessions with databases that were just added or removed, or never existed; its
 * first request is in one piece with CONNECT.
 */
export class VisitingCaller extends SoakCaller {
  protected override async connect(session: CallerSession): Promise<void> {
    const { random, route } = this.options;
    const databases = [...SoakOperator.listPassingDatabases(), route.database];
    const database = databases[random.nextInt(databases.length)]!;
    const [tag = ''] = this.listSetup();
    await Promise.allSettled([session.connect(database), this.send(tag), this.send('ROLLBACK')]);
  }

  protected override async runOperation(): Promise<void> {
    throw new ConnectionError('the caller visits the next database');
  }
}
