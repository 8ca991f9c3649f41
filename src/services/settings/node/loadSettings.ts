import { readFileSync } from 'node:fs';
import type { GenericSchema, InferOutput } from 'valibot';
import { Err, type Result } from 'ts-results-es';
import { parse } from 'yaml';
import { toErrorMessage } from '../../../base/common/errors.js';
import { checkSettings, SettingsError } from '../common/settings.js';

/**
 * Reads and checks a settings file.
 *
 * @param path - Path of the YAML file.
 * @param schema - Settings schema of the program.
 * @returns The settings with defaults filled in, or an error that lists all validation errors or the
 *   reason why the file cannot be read.
 */
export function loadSettings<S extends GenericSchema>(
  path: string,
  schema: S,
): Result<InferOutput<S>, SettingsError> {
  try {
    return checkSettings(schema, parse(readFileSync(path, 'utf8')));
  } catch (err) {
    return Err(new SettingsError([`${path}: ${toErrorMessage(err)}`]));
  }
}
