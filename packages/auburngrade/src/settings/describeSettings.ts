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

const typeOf = (schema: JsonSchema): string => {
  const variants = schema.anyOf ?? schema.oneOf;
  if (variants) return variants.map(typeOf).join(' or ');
  if (schema.enum) return schema.enum.map((value) => JSON.stringify(value)).join(' or ');
  if (schema.const !== undefined) return JSON.stringify(schema.const);
  if (schema.type === 'array') return `array of ${typeOf(schema.items ?? {})}`;
  return schema.type ?? 'any';
};

const limitsOf = (schema: JsonSchema): string =>
  [
    schema.minimum !== undefined && `from ${schema.minimum}`,
    schema.exclusiveMinimum !== undefined && `above ${schema.exclusiveMinimum}`,
    schema.maximum !== undefined && `to ${schema.maximum}`,
    schema.minLength !== undefined && `${schema.minLength} characters or more`,
    schema.pattern !== undefined && `matches ${schema.pattern}`,
  ]
    .filter(Boolean)
    .join(', ');

const collect = (
  schema: JsonSchema,
  path: string,
  isRequired: boolean,
  inherited: unknown,
): SettingDescription[] => {
  const fallback = schema.default ?? inherited;
  if (schema.properties && Object.keys(schema.properties).length > 0) {
    return Object.entries(schema.properties).flatMap(([name, property]) =>
      collect(
        property,
        path === '' ? name : `${path}.${name}`,
        schema.required?.includes(name) ?? false,
        (fallback as Record<string, unknown> | undefined)?.[name],
      ),
    );
  }
  const defaultJson = fallback === undefined ? undefined : JSON.stringify(fallback);
  return [
    {
      path,
      type: typeOf(schema),
      limits: limitsOf(schema),
      defaultJson,
      isRequired,
      description: schema.description ?? '',
    },
  ];
};

/** Describes each field of the settings, from their schema. */
const describeSettings = (): SettingDescription[] =>
  collect(z.toJSONSchema(settingsSchema, { io: 'input' }) as JsonSchema, '', true, undefined);

export default describeSettings;
