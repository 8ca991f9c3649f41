import { Err, Ok, type Result } from 'ts-results-es';
import { IbissparError } from '../../../base/common/errors.js';
import {
  absentVersion,
  ObjectKind,
  VersionConflictError,
  type IObjectStore,
  type IStoreEra,
  type StoredObject,
} from '../../objects/common/objects.js';
import { Agreement } from './agreement.js';
import { parseRules } from './parseRules.js';
import type { RuleFault } from './rule.js';
import {
  completeHistory,
  includesChanges,
  type IRuleHistory,
  type RuleChange,
} from './ruleHistory.js';

/** Manifest object of the rule file: its revision, chunks and latest changes. */
export interface RuleManifest {
  /** Increases by one with each accepted change. */
  readonly revision: number;
  /** Names of the chunk objects, in file order. */
  readonly chunks: readonly string[];
  /** Latest changes, oldest first. */
  readonly changes: readonly RuleChange[];
  /** Era of the store in which the manifest was prepared. */
  readonly era?: number;
}

/** The rules cannot currently be read or written. */
export class RulesUnavailableError extends IbissparError {
  readonly code = 'rules-unavailable';
}

/** A rule file has faulty lines. The current rules stay in force. */
export class RulesInvalidError extends IbissparError {
  readonly code = 'rules-invalid';

  /** @param faults - Every faulty line. */
  constructor(readonly faults: readonly RuleFault[]) {
    super(faults.map((fault) => `line ${fault.line}: ${fault.reason}`).join('\n'));
  }
}

/** The current revision of the rules is not the one that the edit is based on. */
export class RulesConflictError extends IbissparError {
  readonly code = 'rules-conflict';

  /**
   * @param revision - Current revision.
   * @param text - Rule file of the current revision.
   * @param by - Operator who made the current revision.
   */
  constructor(
    readonly revision: number,
    readonly text: string,
    readonly by: string,
  ) {
    super(`the rules are at revision ${revision}, changed by ${by}`);
  }
}

/** Rule file of one revision. */
export interface RuleFile {
  readonly revision: number;
  readonly text: string;
  readonly agreement: Agreement;
  readonly changes: readonly RuleChange[];
}

/** Change of the rule file that an operator requests. */
export interface RuleEdit {
  readonly id: string;
  readonly text: string;
  readonly baseRevision: number;
  readonly by: string;
  readonly atMs: number;
}

/** What became of a rule file in force that the store may have forgotten. */
export enum RuleRestoration {
  /** The store has it, or a later one. */
  Kept = 'kept',
  WrittenAgain = 'written-again',
  /** A change that was accepted without it has replaced it, under a higher revision. */
  Superseded = 'superseded',
  /** As `Superseded`, and that change got a higher revision. */
  Renumbered = 'renumbered',
}

/** Returns the digest of a text as hexadecimal digits. */
export type Digest = (text: string) => string;

const manifestName = 'rules';

/** Maximum size of a chunk, in characters. The platform stores values of up to a megabyte. */
const maxChunkCharacters = 200_000;

/** Maximum number of changes that the manifest lists. */
const maxListedChanges = 1_000;

/** Maximum number of attempts to write the manifest when the outcome of a write is unknown. */
const maxManifestAttempts = 5;

const emptyManifest: RuleManifest = { revision: 0, chunks: [], changes: [] };

function unconfirmedRestoration(): RulesUnavailableError {
  return new RulesUnavailableError('the platform did not confirm the rules written again');
}

function splitIntoChunks(text: string): readonly string[] {
  const chunks: string[] = [];
  let current = '';
  for (const line of text.split('\n')) {
    if (current !== '' && current.length + line.length > maxChunkCharacters) {
      chunks.push(current);
      current = '';
    }
    current += `${line}\n`;
  }
  chunks.push(current.slice(0, -1));
  return chunks;
}

/** Rule file in the platform, stored as immutable chunks and one manifest with a revision. */
export class RuleStore {
  /**
   * @param store - Object store of the platform.
   * @param digest - Digest function; a chunk is named by the digest of its content.
   * @param history - What else is known of the rules.
   */
  constructor(
    private readonly store: IObjectStore & IStoreEra,
    private readonly digest: Digest,
    private readonly history: IRuleHistory = completeHistory,
  ) {}

  /** Reads the current rule file; before the first change it is empty and has revision 0. */
  async read(): Promise<Result<RuleFile, RulesUnavailableError>> {
    const manifest = await this.readManifest();
    return manifest.isErr() ? manifest : this.readFile(manifest.value?.value ?? emptyManifest);
  }

  /**
   * Applies an edit if the rules are still at the revision that it is based on. An edit whose id
   * the manifest already lists is not applied again.
   *
   * @param edit - Edit to apply.
   * @returns Revision that the edit made, or the error that prevented it.
   */
  async apply(
    edit: RuleEdit,
  ): Promise<Result<number, RulesUnavailableError | RulesInvalidError | RulesConflictError>> {
    const parsed = parseRules(edit.text);
    if (parsed.isErr()) {
      return Err(new RulesInvalidError(parsed.error));
    }
    const { era } = this.store;
    const chunks = await this.writeChunks(edit.text);
    if (chunks === undefined) {
      return Err(new RulesUnavailableError('the platform did not take the rule text'));
    }
    for (let attempt = 0; attempt < maxManifestAttempts; attempt += 1) {
      const outcome = await this.tryUpdateManifest(edit, chunks);
      if (this.store.era !== era) {
        // The store may have executed the update and forgotten the chunks.
        await this.writeChunks(edit.text);
      }
      if (outcome !== undefined) {
        return outcome;
      }
    }
    return Err(new RulesUnavailableError(`the platform did not confirm change ${edit.id}`));
  }

  /**
   * Writes a rule file again if the store lacks it since it came back from an older copy. A manifest that was
   * prepared in an earlier era gives way to it; a change that was accepted in this era doesn't.
   *
   * @param known - Rule file in force.
   * @returns What became of the file.
   */
  async restore(known: RuleFile): Promise<Result<RuleRestoration, RulesUnavailableError>> {
    const read = await this.readManifest();
    if (read.isErr()) {
      return read;
    }
    const stored = read.value;
    const manifest = stored?.value ?? emptyManifest;
    const isOfThisEra = manifest.era === this.store.era;
    if (includesChanges(manifest, known) && (isOfThisEra || !(await this.lacksChunk(manifest)))) {
      return Ok(RuleRestoration.Kept);
    }
    if (!isOfThisEra || includesChanges(known, manifest)) {
      const { revision, text, changes } = known;
      const chunks = await this.writeChunks(text);
      const isWritten =
        chunks !== undefined && (await this.writeManifest({ revision, chunks, changes }, stored));
      return isWritten ? Ok(RuleRestoration.WrittenAgain) : Err(unconfirmedRestoration());
    }
    if (manifest.revision > known.revision) {
      return Ok(RuleRestoration.Superseded);
    }
    // Without a higher revision, no process with the known file would take over the stored one.
    const renumbered = { ...manifest, revision: known.revision + 1 };
    return (await this.writeManifest(renumbered, stored))
      ? Ok(RuleRestoration.Renumbered)
      : Err(unconfirmedRestoration());
  }

  private async lacksChunk(manifest: RuleManifest): Promise<boolean> {
    for (const name of manifest.chunks) {
      const read = await this.store.get(ObjectKind.RuleChunks, name);
      if (read.isOk() && read.value === undefined) {
        return true;
      }
    }
    return false;
  }

  /** Tries one conditional update of the manifest; returns undefined if its outcome is unknown. */
  private async tryUpdateManifest(
    edit: RuleEdit,
    chunks: readonly string[],
  ): Promise<Result<number, RulesUnavailableError | RulesConflictError> | undefined> {
    const read = await this.readManifest();
    if (read.isErr()) {
      return undefined;
    }
    if (this.history.isIncomplete) {
      return Err(new RulesUnavailableError('the store came back without its latest changes'));
    }
    const manifest = read.value?.value ?? emptyManifest;
    const accepted = manifest.changes.find((change) => change.id === edit.id);
    if (accepted) {
      return Ok(accepted.revision);
    }
    if (manifest.revision !== edit.baseRevision) {
      return this.createConflict(manifest);
    }
    const { id, by, atMs } = edit;
    const revision = Math.max(manifest.revision, this.history.highestRevision) + 1;
    const changes = [...manifest.changes, { id, revision, by, atMs }].slice(-maxListedChanges);
    const isWritten = await this.writeManifest({ revision, chunks, changes }, read.value);
    return isWritten ? Ok(revision) : undefined;
  }

  private async writeManifest(
    manifest: RuleManifest,
    replaced: StoredObject<RuleManifest> | undefined,
  ): Promise<boolean> {
    const next: RuleManifest = { ...manifest, era: this.store.era };
    const version = replaced?.version ?? absentVersion;
    const put = await this.store.put(ObjectKind.RuleManifest, manifestName, next, version);
    return put.isOk();
  }

  private async createConflict(
    manifest: RuleManifest,
  ): Promise<Result<number, RulesUnavailableError | RulesConflictError>> {
    const file = await this.readFile(manifest);
    if (file.isErr()) {
      return file;
    }
    const by = manifest.changes[manifest.changes.length - 1]?.by ?? 'nobody';
    return Err(new RulesConflictError(manifest.revision, file.value.text, by));
  }

  private async writeChunks(text: string): Promise<readonly string[] | undefined> {
    const names: string[] = [];
    for (const chunk of splitIntoChunks(text)) {
      const name = this.digest(chunk);
      const put = await this.store.put(ObjectKind.RuleChunks, name, { text: chunk }, absentVersion);
      const isStored = put.isOk() || put.error instanceof VersionConflictError;
      if (!isStored && !(await this.hasChunk(name))) {
        return undefined;
      }
      names.push(name);
    }
    return names;
  }

  private async hasChunk(name: string): Promise<boolean> {
    const read = await this.store.get(ObjectKind.RuleChunks, name);
    return read.isOk() && read.value !== undefined;
  }

  private async readManifest(): Promise<
    Result<StoredObject<RuleManifest> | undefined, RulesUnavailableError>
  > {
    const read = await this.store.get<RuleManifest>(ObjectKind.RuleManifest, manifestName);
    return read.mapErr((err) => new RulesUnavailableError(err.message, { cause: err }));
  }

  private async readFile(manifest: RuleManifest): Promise<Result<RuleFile, RulesUnavailableError>> {
    const texts: string[] = [];
    for (const name of manifest.chunks) {
      const read = await this.store.get<{ text: string }>(ObjectKind.RuleChunks, name);
      if (read.isErr() || read.value === undefined) {
        return Err(new RulesUnavailableError(`chunk ${name} cannot be read`));
      }
      texts.push(read.value.value.text);
    }
    const text = texts.join('');
    const rules = parseRules(text);
    if (rules.isErr()) {
      return Err(new RulesUnavailableError('the stored rules do not parse'));
    }
    const { revision, changes } = manifest;
    return Ok({ revision, text, changes, agreement: new Agreement(revision, rules.value) });
  }
}
