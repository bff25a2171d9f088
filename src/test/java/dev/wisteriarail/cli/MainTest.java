package dev.wisteriarail.cli;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the exit codes and error messages of command lines. */
class MainTest {

  @ParameterizedTest
  @CsvSource({
    "--version, SUCCESS, ''",
    "--help, SUCCESS, ''",
    "nonsense, USAGE, no subcommand nonsense",
    "serve, USAGE, config",
    "serve --help, SUCCESS, ''",
    "serve --config /does/not/exist, INVALID_INPUT, WR-3003 /does/not/exist",
    "demo --twice, USAGE, twice",
    "load --scenario steady, USAGE, --target: is required",
    "load --target x --token t --model m --scenario storm, USAGE, no scenario storm",
    "load --target x --token t --model m --rate 0, USAGE, must be positive",
    "load --target x --token t --model m --scenario flood, USAGE, two tokens",
  })
  void commandLineGivesExpectedExitCode(String line, ExitCode expected, String expectedError)
      throws InterruptedException {
    ByteArrayOutputStream errors = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(new ByteArrayOutputStream(), true, UTF_8);
    ExitCode code = Main.run(line.split(" ", -1), out, new PrintStream(errors, true, UTF_8));
    assertThat(code).isEqualTo(expected);
    assertThat(errors.toString(UTF_8)).contains(expectedError);
    assertThat(errors.toString(UTF_8)).doesNotContain("\tat ");
  }
}
