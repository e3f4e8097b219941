/**
 * One VM's assessment of a group's primary: `gone` when it should be replaced, `unknown`
 * while polls give too little evidence.
 */
type PrimaryHealth = 'present' | 'gone' | 'unknown';

export default PrimaryHealth;
