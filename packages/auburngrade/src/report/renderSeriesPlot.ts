import escapeHtml from './escapeHtml';
import type ServiceLevelReport from './serviceLevelReport';

const WIDTH_PX = 720;
const HEIGHT_PX = 160;
const MARGIN_PX = 30;
/** Burn above this is drawn at the top. */
const MAX_RATE = 20;
/** The budget is used up exactly at this burn. */
const FULL_BUDGET_RATE = 1;

type Series = ServiceLevelReport['series'][number];

const computeY = (rate: number): number =>
  HEIGHT_PX - MARGIN_PX - (Math.min(rate, MAX_RATE) / MAX_RATE) * (HEIGHT_PX - 2 * MARGIN_PX);

/** Renders the burn of one profile and client account over time as inline SVG. */
const renderSeriesPlot = ({ route, points }: Series): string => {
  const firstMs = points[0]?.atMs ?? 0;
  const spanMs = Math.max(1, (points.at(-1)?.atMs ?? firstMs) - firstMs);
  const computeX = (atMs: number): number =>
    MARGIN_PX + ((atMs - firstMs) / spanMs) * (WIDTH_PX - 2 * MARGIN_PX);
  const line = points
    .map(({ atMs, rate }) => `${computeX(atMs).toFixed(1)},${computeY(rate).toFixed(1)}`)
    .join(' ');
  const right = WIDTH_PX - MARGIN_PX;
  const exactY = computeY(FULL_BUDGET_RATE).toFixed(1);
  return [
    `<figure><figcaption>${escapeHtml(route)}: availability burn between samples</figcaption>`,
    `<svg viewBox="0 0 ${WIDTH_PX} ${HEIGHT_PX}" width="${WIDTH_PX}" role="img">`,
    `<line x1="${MARGIN_PX}" x2="${right}" y1="${exactY}" y2="${exactY}" class="limit"/>`,
    `<text x="2" y="${exactY}">1</text><text x="2" y="${computeY(MAX_RATE)}">${MAX_RATE}</text>`,
    `<polyline points="${line}" class="rate"/></svg></figure>`,
  ].join('');
};

export default renderSeriesPlot;
