import type ShareState from './shareState';

/** Assigns fields of a share's state in place. */
const updateShareState = (state: ShareState, changes: Partial<ShareState>): void => {
  Object.assign(state, changes);
};

export default updateShareState;
