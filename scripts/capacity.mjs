import { readFileSync, writeFileSync } from 'node:fs';

const pageFile = 'docs/CAPACITY.md';
const beginMarker = '<!-- measured: begin -->';
const endMarker = '<!-- measured: end -->';

const measured = JSON.parse(readFileSync('results/slopes.json', 'utf8'));

function formatTable(header, rows) {
  const formatRow = (cells) => `| ${cells.join(' | ')} |`;
  return [formatRow(header), formatRow(header.map(() => '---')), ...rows.map(formatRow)].join('\n');
}

const { idle, links, long: longAnswers, short: shortAnswers, slopes } = measured;

const blocks = [
  'Idle processes, three entries before six endpoints:',
  formatTable(
    ['process', 'resident MiB', 'CPU % of a core'],
    ['entry', 'agent'].map((name) => [name, idle[name].residentMiB, idle[name].cpuPercent]),
  ),
  `Platform calls a second of that idle fleet: ${idle.platform.reads} reads, ${idle.platform.writes} writes, ${idle.platform.watches} watches.`,
  'One idle entry by its number of links:',
  formatTable(
    ['links', 'CPU %', 'resident MiB', 'bytes/s'],
    links.map((point) => [point.links, point.cpuPercent, point.residentMiB, point.bytesPerSecond]),
  ),
  'One entry and six agents under load, answers of 64 tokens:',
  formatTable(
    ['callers', 'tokens/s', 'requests/s', 'entry CPU %', 'entry MiB', 'agents CPU %', 'agent MiB'],
    longAnswers.map((point) => [
      point.callers,
      point.tokensPerSecond,
      point.callsPerSecond,
      point.entryCpuPercent,
      point.entryMiB,
      point.agentCpuPercent,
      point.agentMiB,
    ]),
  ),
  'The same, answers of 2 tokens:',
  formatTable(
    ['callers', 'tokens/s', 'requests/s', 'entry CPU %', 'entry MiB'],
    shortAnswers.map((point) => [
      point.callers,
      point.tokensPerSecond,
      point.callsPerSecond,
      point.entryCpuPercent,
      point.entryMiB,
    ]),
  ),
  'Slopes (least squares):',
  formatTable(
    ['what', 'slope', 'intercept'],
    Object.entries(slopes).map(([name, fit]) => [name, fit.slope, fit.intercept]),
  ),
];

const text = readFileSync(pageFile, 'utf8');
const before = text.slice(0, text.indexOf(beginMarker) + beginMarker.length);
const after = text.slice(text.indexOf(endMarker));
writeFileSync(pageFile, `${before}\n\n${blocks.join('\n\n')}\n\n${after}`);
