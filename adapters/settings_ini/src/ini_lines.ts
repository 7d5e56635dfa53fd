/**
 * Where each key of an INI text stands. The parser itself keeps the last of two equal keys and no
 * line numbers.
 */

/** A key at its line. */
export interface IniLine {
  /** Section and key, joined by a dot. */
  readonly key: string;
  /** Number of the line, from 1. */
  readonly line: number;
}

const SECTION_PATTERN = /^\s*\[([^\]]*)\]\s*$/;
const KEY_PATTERN = /^\s*([^;#=\s][^=]*?)\s*(?:=.*)?$/;

/** Lists the keys of an INI text in their order. */
export function locateKeys(text: string): readonly IniLine[] {
  const located: IniLine[] = [];
  let section = "";
  for (const [index, line] of text.split(/\r?\n/).entries()) {
    const opened = SECTION_PATTERN.exec(line)?.[1];
    const key = KEY_PATTERN.exec(line)?.[1];
    if (opened !== undefined) section = opened.trim();
    else if (key !== undefined) {
      located.push({ key: joinKey(section, key), line: index + 1 });
    }
  }
  return located;
}

function joinKey(section: string, key: string): string {
  return section === "" ? key : `${section}.${key}`;
}
