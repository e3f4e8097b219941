import { Command } from '@oclif/core';

/** Base of every command: prints text, or its result as JSON with `--json`. */
abstract class ProgramCommand extends Command {
  static override enableJsonFlag = true;

  /** Errors reach the entry point, which decides the exit code and the form of the message. */
  protected override async catch(error: Error): Promise<never> {
    throw error;
  }
}

export default ProgramCommand;
