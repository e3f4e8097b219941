/**
 * What a link does: `pass`; `cut` resets open connections and refuses new ones;
 * `silent` accepts and forwards nothing both ways; `dropRequests` and
 * `dropAnswers` lose one direction.
 */
type FaultMode = 'pass' | 'cut' | 'silent' | 'dropRequests' | 'dropAnswers';

export default FaultMode;
