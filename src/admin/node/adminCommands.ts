import { randomUUID } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { RunState } from '../../services/problem/common/problem.js';
import { diffLines, formatDiff } from '../common/lineDiff.js';
import { formatCsv, formatTable, type Cell } from '../common/table.js';
import type { AdminClient, AdminError } from './adminClient.js';

/** Exit status of a call that failed or a change that was refused. */
const failedStatus = 1;

/** Tries of a change whose outcome is not known; the same id applies once. */
const maxTries = 5;

interface RulesPage {
  readonly revision: number;
  readonly text: string;
  readonly lowestRevision?: number;
  readonly changes: readonly { revision: number; by: string; atMs: number }[];
}

interface EndpointPage {
  readonly endpoints: readonly {
    readonly id: string;
    readonly place: string;
    readonly connected: boolean;
    readonly leaving: boolean;
    readonly ejected: boolean;
    readonly report: {
      readonly model: string;
      readonly range: { readonly from: number; readonly to: number };
      readonly accelerator: string;
      readonly active: number;
      readonly capacity: number;
      readonly ready: boolean;
    };
  }[];
}

interface Amounts {
  readonly requests: number;
  readonly tokens: number;
  readonly layerTokens: number;
  readonly micros: number;
}

interface CostPage {
  readonly complete: boolean;
  readonly lines: readonly {
    readonly organisation: string;
    readonly subject: string;
    readonly revision: number;
    readonly agents: Amounts;
    readonly entries: Amounts;
    readonly differenceMicros: number;
  }[];
}

/** Commands of an operator; each prints its result and returns an exit status. */
export class AdminCommands {
  /**
   * @param client - Client of the administration API.
   * @param print - Writes one line.
   */
  constructor(
    private readonly client: AdminClient,
    private readonly print: (line: string) => void,
  ) {}

  /** Prints the state of the entry. */
  async status(): Promise<number> {
    const page = await this.client.get<Record<string, Cell>>('status');
    if (page.isErr()) {
      return this.fail(page.error);
    }
    this.print(formatTable(['field', 'value'], Object.entries(page.value)));
    return 0;
  }

  /** Prints the endpoints with the layers that they hold, in the order of layers. */
  async chains(): Promise<number> {
    const page = await this.client.get<EndpointPage>('endpoints');
    if (page.isErr()) {
      return this.fail(page.error);
    }
    const rows = [...page.value.endpoints]
      .sort((a, b) => a.report.range.from - b.report.range.from || a.id.localeCompare(b.id))
      .map(({ id, place, connected, leaving, ejected, report }): Cell[] => {
        const flags = [
          connected ? '' : 'unlinked',
          leaving ? 'leaving' : '',
          ejected ? 'ejected' : '',
          report.ready ? '' : 'not-ready',
        ].filter((flag) => flag !== '');
        const layers = `${report.range.from}-${report.range.to}`;
        const load = `${report.active}/${report.capacity}`;
        return [report.model, layers, id, place, report.accelerator, load, flags.join(',') || 'ok'];
      });
    const head = ['model', 'layers', 'endpoint', 'place', 'accelerator', 'load', 'state'];
    this.print(formatTable(head, rows));
    return 0;
  }

  /** Prints the decisions about a request. */
  async explain(request: string): Promise<number> {
    const page = await this.client.get<{ decisions: { event: string; fields: object }[] }>(
      `explain/${encodeURIComponent(request)}`,
    );
    if (page.isErr()) {
      return this.fail(page.error);
    }
    page.value.decisions.forEach(({ event, fields }) =>
      this.print(`${event} ${JSON.stringify(fields)}`),
    );
    if (page.value.decisions.length === 0) {
      this.print(`this entry does not remember request ${request}; ask the entry that served it`);
      return failedStatus;
    }
    return 0;
  }

  /** Prints the rules in force. */
  async getRules(): Promise<number> {
    const page = await this.client.get<RulesPage>('rules');
    if (page.isErr()) {
      return this.fail(page.error);
    }
    const { revision, lowestRevision, text } = page.value;
    this.print(`# revision ${revision}, in force everywhere: ${lowestRevision ?? 'unknown'}`);
    this.print(text);
    return 0;
  }

  /** Prints who changed the rules when. */
  async history(): Promise<number> {
    const page = await this.client.get<RulesPage>('rules');
    if (page.isErr()) {
      return this.fail(page.error);
    }
    const rows = page.value.changes.map(({ revision, by, atMs }): Cell[] => [
      revision,
      new Date(atMs).toISOString(),
      by,
    ]);
    this.print(formatTable(['revision', 'time', 'by'], rows));
    return 0;
  }

  /** Prints how a file differs from the rules in force. */
  async diffRules(file: string): Promise<number> {
    const page = await this.client.get<RulesPage>('rules');
    if (page.isErr()) {
      return this.fail(page.error);
    }
    const diff = diffLines(page.value.text, (await readFile(file, 'utf8')).trimEnd());
    this.print(`# against revision ${page.value.revision}`);
    this.print(formatDiff(diff));
    return 0;
  }

  /**
   * Applies a rule file that was edited from a revision.
   *
   * @param file - Path of the file.
   * @param baseRevision - Revision that it was edited from.
   * @param by - Who asks.
   */
  async applyRules(file: string, baseRevision: number, by: string): Promise<number> {
    const text = (await readFile(file, 'utf8')).trimEnd();
    const edit = { id: randomUUID(), baseRevision, text, by };
    for (let tries = 1; ; tries += 1) {
      const result = await this.client.put<{ revision: number }>('rules', edit);
      if (result.isOk()) {
        this.print(`accepted as revision ${result.value.revision}`);
        return 0;
      }
      const { details } = result.error;
      if (details?.status === 409) {
        return this.showConflict(result.error, text);
      }
      const isOpen = details === undefined || details.run === RunState.Unknown;
      if (!isOpen || tries >= maxTries) {
        return this.fail(result.error);
      }
    }
  }

  /** Prints which rules decide for an organisation. */
  async why(organisation: string, model?: string, place?: string): Promise<number> {
    const query = new URLSearchParams({ ...(model && { model }), ...(place && { place }) });
    const page = await this.client.get<{
      revision: number;
      terms: object;
      deciding: { line: number; text: string }[];
      named: { line: number; text: string }[];
    }>(`rules/why/${encodeURIComponent(organisation)}?${query}`);
    if (page.isErr()) {
      return this.fail(page.error);
    }
    const { revision, terms, deciding, named } = page.value;
    this.print(`revision ${revision}, terms ${JSON.stringify(terms)}`);
    const [first] = deciding;
    this.print(
      first ? `decided by line ${first.line}: ${first.text}` : 'no line decides: defaults',
    );
    named
      .filter((rule) => rule.line !== first?.line)
      .forEach((rule) => this.print(`also names it, line ${rule.line}: ${rule.text}`));
    return 0;
  }

  /** Prints the cost record as a table or as comma-separated values. */
  async costs(from: string | undefined, to: string | undefined, csv: boolean): Promise<number> {
    const query = new URLSearchParams({ ...(from && { from }), ...(to && { to }) });
    const page = await this.client.get<CostPage>(`costs?${query}`);
    if (page.isErr()) {
      return this.fail(page.error);
    }
    const head = [
      ...['organisation', 'subject', 'revision', 'requests', 'tokens', 'agent-layer-tokens'],
      ...['entry-layer-tokens', 'agent-micros', 'entry-micros', 'difference'],
    ];
    const rows = page.value.lines.map((line): Cell[] => [
      line.organisation,
      line.subject,
      line.revision,
      line.entries.requests,
      line.entries.tokens,
      line.agents.layerTokens,
      line.entries.layerTokens,
      Math.round(line.agents.micros),
      Math.round(line.entries.micros),
      Math.round(line.differenceMicros),
    ]);
    this.print(csv ? formatCsv(head, rows) : formatTable(head, rows));
    if (!page.value.complete) {
      this.print('the platform is not available: the record is not complete');
      return failedStatus;
    }
    return 0;
  }

  private showConflict(err: AdminError, text: string): number {
    this.print(`conflict: ${err.message}`);
    const current = err.details?.text;
    if (typeof current === 'string') {
      this.print('lines by which your file differs from the current rules:');
      this.print(formatDiff(diffLines(current, text)));
    }
    this.print(`edit again from revision ${String(err.details?.revision)}`);
    return failedStatus;
  }

  private fail(err: AdminError): number {
    this.print(`${err.code}: ${err.message}`);
    (err.details?.errors ?? []).forEach(({ field, reason }) => this.print(`  ${field}: ${reason}`));
    return failedStatus;
  }
}
