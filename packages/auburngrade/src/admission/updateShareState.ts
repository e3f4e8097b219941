import type ShareState from './shareState';

/** Changes fields of a share's state. */
const updateShareState = (state: ShareState, changes: Partial<ShareState>): void => {
  Object.assign(state, changes);
};

export default updateShareState;
