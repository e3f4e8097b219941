import type { z } from 'zod';
import fieldPathsOf from './fieldPathsOf';

const UNIT_SUFFIX = /(Ms|S|Bytes|PerS|Ratio|Percent)$/;

const stemOf = (name: string): string => name.replace(UNIT_SUFFIX, '').toLowerCase();

/** The known field that an unknown one probably stands for, such as another unit of it. */
const similarField = (path: string, knownPaths: string[]): string | undefined => {
  const parentOf = (field: string): string => field.slice(0, field.lastIndexOf('.') + 1);
  const nameOf = (field: string): string => field.slice(field.lastIndexOf('.') + 1);
  return knownPaths.find(
    (known) => parentOf(known) === parentOf(path) && stemOf(nameOf(known)) === stemOf(nameOf(path)),
  );
};

const describeUnknown = (path: string, knownPaths: string[]): string => {
  const similar = similarField(path, knownPaths);
  return similar === undefined
    ? `${path}: unknown field`
    : `${path}: unknown field; the field with its unit is ${similar}`;
};

/** Describes each problem of the settings with the path of its field. */
const listSettingsProblems = (error: z.ZodError): string[] => {
  const knownPaths = fieldPathsOf();
  return error.issues.flatMap((issue) => {
    const path = issue.path.join('.');
    if (issue.code !== 'unrecognized_keys') return [`${path || '(settings)'}: ${issue.message}`];
    return issue.keys.map((key) =>
      describeUnknown(path === '' ? key : `${path}.${key}`, knownPaths),
    );
  });
};

export default listSettingsProblems;
