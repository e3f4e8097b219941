import type { z } from 'zod';
import listFieldPaths from './listFieldPaths';

const UNIT_SUFFIX = /(Ms|S|Bytes|PerS|Ratio|Percent)$/;

const removeUnit = (name: string): string => name.replace(UNIT_SUFFIX, '').toLowerCase();

/** The known field that an unknown one probably stands for, such as another unit of it. */
const findSimilarField = (path: string, knownPaths: string[]): string | undefined => {
  const parentOf = (field: string): string => field.slice(0, field.lastIndexOf('.') + 1);
  const nameOf = (field: string): string => field.slice(field.lastIndexOf('.') + 1);
  return knownPaths.find(
    (known) =>
      parentOf(known) === parentOf(path) && removeUnit(nameOf(known)) === removeUnit(nameOf(path)),
  );
};

const describeUnknownField = (path: string, knownPaths: string[]): string => {
  const similar = findSimilarField(path, knownPaths);
  return similar === undefined
    ? `${path}: unknown field`
    : `${path}: unknown field; the field with its unit is ${similar}`;
};

/** Describes each problem of the settings with the path of its field. */
const listSettingsProblems = (error: z.ZodError): string[] => {
  const knownPaths = listFieldPaths();
  return error.issues.flatMap((issue) => {
    const path = issue.path.join('.');
    if (issue.code !== 'unrecognized_keys') return [`${path || '(settings)'}: ${issue.message}`];
    return issue.keys.map((key) =>
      describeUnknownField(path === '' ? key : `${path}.${key}`, knownPaths),
    );
  });
};

export default listSettingsProblems;
