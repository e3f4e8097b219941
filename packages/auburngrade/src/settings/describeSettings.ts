import { z } from 'zod';
import settingsSchema from './settingsSchema';

/** One field of the settings as the reference shows it. */
interface SettingDescription {
  path: string;
  type: string;
  limits: string;
  /** JSON text of the default, or undefined when the field is required. */
  defaultJson: string | undefined;
  isRequired: boolean;
  description: string;
}

interface JsonSchema {
  type?: string;
  enum?: unknown[];
  const?: unknown;
  default?: unknown;
  description?: string;
  minimum?: number;
  maximum?: number;
  exclusiveMinimum?: number;
  minLength?: number;
  maxLength?: number;
  pattern?: string;
  properties?: Record<string, JsonSchema>;
  required?: string[];
  items?: JsonSchema;
  anyOf?: JsonSchema[];
  oneOf?: JsonSchema[];
}

const formatType = (schema: JsonSchema): string => {
  const variants = schema.anyOf ?? schema.oneOf;
  if (variants) return variants.map(formatType).join(' or ');
  if (schema.enum) return schema.enum.map((value) => JSON.stringify(value)).join(' or ');
  if (schema.const !== undefined) return JSON.stringify(schema.const);
  if (schema.type === 'array') return `array of ${formatType(schema.items ?? {})}`;
  return schema.type ?? 'any';
};

const formatLimits = (schema: JsonSchema): string =>
  [
    schema.minimum !== undefined && `from ${schema.minimum}`,
    schema.exclusiveMinimum !== undefined && `above ${schema.exclusiveMinimum}`,
    schema.maximum !== undefined && `to ${schema.maximum}`,
    schema.minLength !== undefined && `${schema.minLength} characters or more`,
    schema.pattern !== undefined && `matches ${schema.pattern}`,
  ]
    .filter(Boolean)
    .join(', ');

const describeFields = (
  schema: JsonSchema,
  path: string,
  isRequired: boolean,
  inheritedDefault: unknown,
): SettingDescription[] => {
  const defaultValue = schema.default ?? inheritedDefault;
  if (schema.properties && Object.keys(schema.properties).length > 0) {
    return Object.entries(schema.properties).flatMap(([name, property]) =>
      describeFields(
        property,
        path === '' ? name : `${path}.${name}`,
        schema.required?.includes(name) ?? false,
        (defaultValue as Record<string, unknown> | undefined)?.[name],
      ),
    );
  }
  const defaultJson = defaultValue === undefined ? undefined : JSON.stringify(defaultValue);
  return [
    {
      path,
      type: formatType(schema),
      limits: formatLimits(schema),
      defaultJson,
      isRequired,
      description: schema.description ?? '',
    },
  ];
};

/** Describes each field of the settings, from their schema. */
const describeSettings = (): SettingDescription[] =>
  describeFields(
    z.toJSONSchema(settingsSchema, { io: 'input' }) as JsonSchema,
    '',
    true,
    undefined,
  );

export default describeSettings;
