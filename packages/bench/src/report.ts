import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { Measurement } from './measure.js';

/** A bar of a plot. */
interface Bar {
  readonly version: string;
  readonly field: string;
  readonly value: number;
}

function listBars(version: string, fields: Readonly<Record<string, number>>): readonly Bar[] {
  return Object.entries(fields).map(([field, value]) => ({ version, field, value }));
}

async function createPlot(field: string, bars: readonly Bar[]): Promise<string> {
  const spec: TopLevelSpec = {
    title: field,
    width: 240,
    height: 120,
    data: { values: bars.filter((bar) => bar.field === field).map((bar) => ({ ...bar })) },
    mark: 'bar',
    encoding: {
      y: { field: 'version', type: 'nominal', title: null, sort: null },
      x: { field: 'value', type: 'quantitative', title: null },
      color: { field: 'version', type: 'nominal', legend: null },
    },
  };
  return new View(parse(compile(spec).spec), { renderer: 'none' }).toSVG();
}

/** Creates an HTML page with a plot per field: shallotpick, naive, and an earlier run if given. */
export async function createReport(
  measurement: Measurement,
  against: Measurement | undefined,
): Promise<string> {
  const { profile, scenario, seed, shallotpick, naive } = measurement;
  const bars = [
    ...listBars('shallotpick', shallotpick),
    ...(against ? listBars('earlier', against.shallotpick) : []),
    ...listBars('naive', naive),
  ];
  const plots = await Promise.all(Object.keys(shallotpick).map((field) => createPlot(field, bars)));
  const title = `shallotpick: ${scenario}, ${profile}, seed ${seed}`;
  return [
    '<!doctype html>',
    `<html lang="en"><head><meta charset="utf-8"><title>${title}</title></head>`,
    `<body><h1>${title}</h1>`,
    ...plots.map((plot) => `<figure>${plot}</figure>`),
    '</body></html>',
    '',
  ].join('\n');
}
