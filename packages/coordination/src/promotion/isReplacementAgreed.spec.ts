import { expect } from 'chai';
import isReplacementAgreed from './isReplacementAgreed';
import type PrimaryHealth from './primaryHealth';

describe('isReplacementAgreed', () => {
  const cases: [PrimaryHealth[], boolean][] = [
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

  cases.forEach(([peerViews, isAgreed]) => {
    it(`${isAgreed ? 'allows' : 'refuses'} a replacement when other VMs answer ${peerViews.join(', ') || 'nothing'}`, () => {
      expect(isReplacementAgreed(peerViews)).to.equal(isAgreed);
    });
  });
});
