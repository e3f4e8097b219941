/** Whose fault a refusal is: `own` counts against objectives, the others are shown apart. */
type FaultKind = 'own' | 'overRate' | 'caller';

export default FaultKind;
