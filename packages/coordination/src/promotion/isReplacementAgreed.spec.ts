import { expect } from 'chai';
import isReplacementAgreed from './isReplacementAgreed';
import type PrimaryView from './primaryView';

describe('agreement on a replacement by a VM that sees the primary gone', () => {
  const cases: [PrimaryView[], boolean][] = [
    [[], true],
    [['unknown', 'unknown'], true],
    [['gone', 'unknown'], true],
    [['present'], false],
    [['present', 'unknown'], false],
    [['present', 'present'], false],
    [['gone', 'present'], true],
    [['gone', 'present', 'present'], true],
    [['gone', 'present', 'present', 'present'], false],
    [['gone', 'gone', 'present', 'present', 'present'], true],
  ];

  cases.forEach(([others, isAgreed]) => {
    it(`is ${isAgreed ? 'there' : 'missing'} when others answer ${others.join(', ') || 'nothing'}`, () => {
      expect(isReplacementAgreed(others)).to.equal(isAgreed);
    });
  });
});
