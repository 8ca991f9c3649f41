import { randomUUID } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { RunState } from '../../services/problem/common/problem.js';
import { diffLines, formatDiff } from '../common/lineDiff.js';
import { formatCsv, formatTable, type Cell } from '../common/table.js';
import type { AdminClient, AdminError } from './adminClient.js';

/** Exit status for a failed call, a refused change or an incomplete result. */
const failureStatus = 1;

/**
 * Maximum number of attempts at a change whose outcome is unknown. Repeating it is safe, because a
 * change with the same id is applied only once.
 */
const maxAttempts = 5;

interface RulesResponse {
  readonly revision: number;
  readonly text: string;
  readonly lowestRevision?: number;
  readonly changes: readonly { revision: number; by: string; atMs: number }[];
}

interface EndpointsResponse {
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

interface CostsResponse {
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

/**
 * Commands of the administration tool. Each command prints its result and returns an exit status.
 */
export class AdminCommands {
  /**
   * @param client - Client of the administration API.
   * @param print - Prints one line.
   */
  constructor(
    private readonly client: AdminClient,
    private readonly print: (line: string) => void,
  ) {}

  /** Prints the state of the entry. */
  async status(): Promise<number> {
    const response = await this.client.get<Record<string, Cell>>('status');
    if (response.isErr()) {
      return this.printFailure(response.error);
    }
    this.print(formatTable(['field', 'value'], Object.entries(response.value)));
    return 0;
  }

  /** Prints the endpoints with the layers that they hold, sorted by first layer. */
  async printEndpoints(): Promise<number> {
    const response = await this.client.get<EndpointsResponse>('endpoints');
    if (response.isErr()) {
      return this.printFailure(response.error);
    }
    const rows = [...response.value.endpoints]
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
    const header = ['model', 'layers', 'endpoint', 'place', 'accelerator', 'load', 'state'];
    this.print(formatTable(header, rows));
    return 0;
  }

  /** Prints the logged decisions about a request, if the entry still has them. */
  async explain(request: string): Promise<number> {
    const response = await this.client.get<{ decisions: { event: string; fields: object }[] }>(
      `explain/${encodeURIComponent(request)}`,
    );
    if (response.isErr()) {
      return this.printFailure(response.error);
    }
    response.value.decisions.forEach(({ event, fields }) =>
      this.print(`${event} ${JSON.stringify(fields)}`),
    );
    if (response.value.decisions.length === 0) {
      this.print(
        `this entry has no decisions for request ${request}; ask the entry that served it`,
      );
      return failureStatus;
    }
    return 0;
  }

  /** Prints the rules in force and the revision that is in force on all entries. */
  async getRules(): Promise<number> {
    const response = await this.client.get<RulesResponse>('rules');
    if (response.isErr()) {
      return this.printFailure(response.error);
    }
    const { revision, lowestRevision, text } = response.value;
    // Operators' scripts read this line and save it with the file, so its text must stay the same.
    this.print(`# revision ${revision}, in force everywhere: ${lowestRevision ?? 'unknown'}`);
    this.print(text);
    return 0;
  }

  /** Prints the changes of the rules with their time and author. */
  async history(): Promise<number> {
    const response = await this.client.get<RulesResponse>('rules');
    if (response.isErr()) {
      return this.printFailure(response.error);
    }
    const rows = response.value.changes.map(({ revision, by, atMs }): Cell[] => [
      revision,
      new Date(atMs).toISOString(),
      by,
    ]);
    this.print(formatTable(['revision', 'time', 'by'], rows));
    return 0;
  }

  /** Prints the differences between a rule file and the rules in force. */
  async diffRules(file: string): Promise<number> {
    const response = await this.client.get<RulesResponse>('rules');
    if (response.isErr()) {
      return this.printFailure(response.error);
    }
    const diff = diffLines(response.value.text, (await readFile(file, 'utf8')).trimEnd());
    this.print(`# against revision ${response.value.revision}`);
    this.print(formatDiff(diff));
    return 0;
  }

  /**
   * Applies a rule file, unless the rules have changed since the revision that it is based on.
   *
   * @param file - Path of the file.
   * @param baseRevision - Revision that the file is based on.
   * @param by - Name that is recorded as the author of the change.
   */
  async applyRules(file: string, baseRevision: number, by: string): Promise<number> {
    const text = (await readFile(file, 'utf8')).trimEnd();
    const edit = { id: randomUUID(), baseRevision, text, by };
    for (let attempts = 1; ; attempts += 1) {
      const result = await this.client.put<{ revision: number }>('rules', edit);
      if (result.isOk()) {
        this.print(`accepted as revision ${result.value.revision}`);
        return 0;
      }
      const { details } = result.error;
      if (details?.status === 409) {
        return this.printConflict(result.error, text);
      }
      const isOutcomeUnknown = details === undefined || details.run === RunState.Unknown;
      if (!isOutcomeUnknown || attempts >= maxAttempts) {
        return this.printFailure(result.error);
      }
    }
  }

  /** Prints the share rule that applies to an organisation and the other rules that name it. */
  async why(organisation: string, model?: string, dataCentre?: string): Promise<number> {
    const query = new URLSearchParams({
      ...(model && { model }),
      ...(dataCentre && { place: dataCentre }),
    });
    const response = await this.client.get<{
      revision: number;
      terms: object;
      deciding: { line: number; text: string }[];
      named: { line: number; text: string }[];
    }>(`rules/why/${encodeURIComponent(organisation)}?${query}`);
    if (response.isErr()) {
      return this.printFailure(response.error);
    }
    const { revision, terms, deciding, named } = response.value;
    this.print(`revision ${revision}, terms ${JSON.stringify(terms)}`);
    const [appliedRule] = deciding;
    this.print(
      appliedRule
        ? `set by line ${appliedRule.line}: ${appliedRule.text}`
        : 'no share rule matches; the default terms apply',
    );
    named
      .filter((rule) => rule.line !== appliedRule?.line)
      .forEach((rule) =>
        this.print(`also names the organisation, line ${rule.line}: ${rule.text}`),
      );
    return 0;
  }

  /** Prints the costs of a period as a table or as comma-separated values. */
  async costs(from: string | undefined, to: string | undefined, asCsv: boolean): Promise<number> {
    const query = new URLSearchParams({ ...(from && { from }), ...(to && { to }) });
    const response = await this.client.get<CostsResponse>(`costs?${query}`);
    if (response.isErr()) {
      return this.printFailure(response.error);
    }
    const header = [
      ...['organisation', 'subject', 'revision', 'requests', 'tokens', 'agent-layer-tokens'],
      ...['entry-layer-tokens', 'agent-micros', 'entry-micros', 'difference'],
    ];
    const rows = response.value.lines.map((line): Cell[] => [
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
    this.print(asCsv ? formatCsv(header, rows) : formatTable(header, rows));
    if (!response.value.complete) {
      this.print('the platform is unavailable; the cost report is incomplete');
      return failureStatus;
    }
    return 0;
  }

  private printConflict(err: AdminError, text: string): number {
    this.print(`conflict: ${err.message}`);
    const current = err.details?.text;
    if (typeof current === 'string') {
      this.print('differences from the current rules (-) to your file (+):');
      this.print(formatDiff(diffLines(current, text)));
    }
    this.print(`repeat the edit on revision ${String(err.details?.revision)}`);
    return failureStatus;
  }

  private printFailure(err: AdminError): number {
    this.print(`${err.code}: ${err.message}`);
    (err.details?.errors ?? []).forEach(({ field, reason }) => this.print(`  ${field}: ${reason}`));
    return failureStatus;
  }
}
