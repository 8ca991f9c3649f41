import { readFileSync, writeFileSync } from 'node:fs';

const page = 'docs/CAPACITY.md';
const begin = '<!-- measured: begin -->';
const end = '<!-- measured: end -->';

const measured = JSON.parse(readFileSync('results/slopes.json', 'utf8'));

function table(head, rows) {
  const line = (cells) => `| ${cells.join(' | ')} |`;
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join('\n');
}

const { idle, links, long, short, slopes } = measured;

const blocks = [
  'Idle processes, three entries before six endpoints:',
  table(
    ['process', 'resident MiB', 'CPU % of a core'],
    ['entry', 'agent'].map((name) => [name, idle[name].residentMiB, idle[name].cpuPercent]),
  ),
  `Platform calls a second of that idle fleet: ${idle.platform.reads} reads, ${idle.platform.writes} writes, ${idle.platform.watches} watches.`,
  'One idle entry by its number of links:',
  table(
    ['links', 'CPU %', 'resident MiB', 'bytes/s'],
    links.map((point) => [point.links, point.cpuPercent, point.residentMiB, point.bytesPerSecond]),
  ),
  'One entry and six agents under load, answers of 64 tokens:',
  table(
    ['callers', 'tokens/s', 'requests/s', 'entry CPU %', 'entry MiB', 'agents CPU %', 'agent MiB'],
    long.map((point) => [
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
  table(
    ['callers', 'tokens/s', 'requests/s', 'entry CPU %', 'entry MiB'],
    short.map((point) => [
      point.callers,
      point.tokensPerSecond,
      point.callsPerSecond,
      point.entryCpuPercent,
      point.entryMiB,
    ]),
  ),
  'Slopes (least squares):',
  table(
    ['what', 'slope', 'intercept'],
    Object.entries(slopes).map(([name, line]) => [name, line.slope, line.intercept]),
  ),
];

const text = readFileSync(page, 'utf8');
const before = text.slice(0, text.indexOf(begin) + begin.length);
const after = text.slice(text.indexOf(end));
writeFileSync(page, `${before}\n\n${blocks.join('\n\n')}\n\n${after}`);
