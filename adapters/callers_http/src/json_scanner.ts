/**
 * Finds faults that `JSON.parse` accepts silently: duplicate keys in one object, of which the last would
 * win, integers that would lose digits, numbers that overflow, and nesting that is too deep to be
 * serialized again.
 */

/** Kinds of faults. */
export enum JsonFaultKind {
  DuplicateKey = "duplicate-key",
  InexactNumber = "inexact-number",
  NestedTooDeep = "nested-too-deep",
}

/** The first fault of a text. */
export interface JsonFault {
  readonly kind: JsonFaultKind;
  /** The duplicate key, the inexact number or the depth. */
  readonly found: string;
}

/** Greatest allowed depth of nested arrays and objects. */
export const MAXIMUM_DEPTH = 64;

const QUOTE = '"';

/** Codes of the characters that the scanner distinguishes. */
enum Code {
  Quote = 0x22,
  Comma = 0x2c,
  Minus = 0x2d,
  Zero = 0x30,
  Nine = 0x39,
  OpeningBracket = 0x5b,
  Backslash = 0x5c,
  ClosingBracket = 0x5d,
  OpeningBrace = 0x7b,
  ClosingBrace = 0x7d,
}

const NUMBER_PATTERN = /-?\d+(?:\.\d+)?(?:[eE][+-]?\d+)?/y;
const INTEGER_PATTERN = /^-?\d+$/;

/**
 * Scans a text that `JSON.parse` has accepted.
 *
 * @returns the first fault, or undefined when there is none
 */
export function findJsonFault(text: string): JsonFault | undefined {
  return new JsonScanner(text).scan();
}

/** One open array or object. */
interface Level {
  /** Keys seen so far; undefined in an array. */
  readonly keys: Set<string> | undefined;
  isKeyNext: boolean;
}

class JsonScanner {
  readonly #text: string;
  readonly #levels: Level[] = [];
  #position = 0;

  constructor(text: string) {
    this.#text = text;
  }

  scan(): JsonFault | undefined {
    while (this.#position < this.#text.length) {
      const fault = this.#scanToken();
      if (fault !== undefined) return fault;
    }
    return undefined;
  }

  #scanToken(): JsonFault | undefined {
    const code = this.#text.charCodeAt(this.#position);
    switch (code) {
      case Code.OpeningBrace:
        return this.#open({ keys: new Set(), isKeyNext: true });
      case Code.OpeningBracket:
        return this.#open({ keys: undefined, isKeyNext: false });
      case Code.ClosingBrace:
      case Code.ClosingBracket:
        this.#levels.pop();
        break;
      case Code.Comma:
        this.#expectKey();
        break;
      case Code.Quote:
        return this.#scanString();
      default:
        if (isNumberStart(code)) return this.#scanNumber();
    }
    this.#position += 1;
    return undefined;
  }

  #open(level: Level): JsonFault | undefined {
    this.#levels.push(level);
    this.#position += 1;
    if (this.#levels.length <= MAXIMUM_DEPTH) return undefined;
    const found = String(this.#levels.length);
    return { kind: JsonFaultKind.NestedTooDeep, found };
  }

  #expectKey(): void {
    const level = this.#levels.at(-1);
    if (level?.keys !== undefined) level.isKeyNext = true;
  }

  #scanString(): JsonFault | undefined {
    const start = this.#position;
    const end = this.#endOfString(start);
    this.#position = end;
    const level = this.#levels.at(-1);
    if (level?.keys === undefined || !level.isKeyNext) return undefined;
    level.isKeyNext = false;
    const key: string = JSON.parse(this.#text.slice(start, end));
    if (level.keys.has(key)) {
      return { kind: JsonFaultKind.DuplicateKey, found: key };
    }
    level.keys.add(key);
    return undefined;
  }

  /** Position after the closing quote. */
  #endOfString(start: number): number {
    let end = this.#text.indexOf(QUOTE, start + 1);
    while (this.#isEscaped(end)) end = this.#text.indexOf(QUOTE, end + 1);
    return end + 1;
  }

  /** Whether an odd number of backslashes precedes a position. */
  #isEscaped(position: number): boolean {
    let backslashes = 0;
    while (
      this.#text.charCodeAt(position - 1 - backslashes) === Code.Backslash
    ) {
      backslashes += 1;
    }
    return backslashes % 2 === 1;
  }

  #scanNumber(): JsonFault | undefined {
    NUMBER_PATTERN.lastIndex = this.#position;
    const literal = NUMBER_PATTERN.exec(this.#text)?.[0] ?? "0";
    this.#position += literal.length;
    if (isExact(literal)) return undefined;
    return { kind: JsonFaultKind.InexactNumber, found: literal };
  }
}

function isNumberStart(code: number): boolean {
  return code === Code.Minus || (code >= Code.Zero && code <= Code.Nine);
}

function isExact(literal: string): boolean {
  const value = Number(literal);
  return INTEGER_PATTERN.test(literal)
    ? Number.isSafeInteger(value)
    : Number.isFinite(value);
}
