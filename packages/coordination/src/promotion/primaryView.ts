/**
 * How one VM sees a group's primary: `gone` when it should be replaced, `unknown`
 * while there is too little to judge by.
 */
type PrimaryView = 'present' | 'gone' | 'unknown';

export default PrimaryView;
