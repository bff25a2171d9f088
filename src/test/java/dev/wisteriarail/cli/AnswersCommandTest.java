package dev.wisteriarail.cli;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.settings.Endpoint;
import dev.wisteriarail.standin.LogStandin;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the answers and audit subcommands against a stand-in log over HTTP. */
class AnswersCommandTest {

  private static final String EXAMPLE = "examples/lonchera";

  @TempDir Path folder;
  private final LogStandin log = LogStandin.start(new Endpoint("127.0.0.1", 0), 1, 100_000);
  private final ByteArrayOutputStream printed = new ByteArrayOutputStream();

  AnswersCommandTest() throws SettingsException {}

  @AfterEach
  void close() {
    log.close();
  }

  @Test
  void changeIsComparedPublishedListedAndReverted() throws Exception {
    assertThat(run("answers", "publish", "--base", "0", EXAMPLE)).isEqualTo(ExitCode.SUCCESS);
    int sections = log.records().size();
    Path changed = writeAnswers(queueLimit("c02", 9));

    assertThat(run("answers", "diff", changed.toString())).isEqualTo(ExitCode.SUCCESS);
    assertThat(printed()).contains("~ customer c02: queueLimit 64 -> 9");
    assertThat(printed()).contains("publish with --base " + sections);

    String base = String.valueOf(sections);
    ExitCode published = run("answers", "publish", "--base", base, changed.toString());
    assertThat(published).isEqualTo(ExitCode.SUCCESS);
    assertThat(printed()).contains("section c02 is in force as revision " + (sections + 1));

    ExitCode again =
        run("answers", "publish", "--base", base, writeAnswers(queueLimit("c02", 8)).toString());
    assertThat(again).isEqualTo(ExitCode.FAILED);
    assertThat(printed()).contains("refused: WR-3102");

    String newest = String.valueOf(sections + 1);
    ExitCode reverted =
        run("answers", "revert", "--section", "c02", "--to", base, "--base", newest);
    assertThat(reverted).isEqualTo(ExitCode.SUCCESS);
    run("answers", "history");
    assertThat(printed()).contains("in force: revision " + (sections + 2));
    run("audit", "--about", "c02");
    assertThat(printed()).contains("ann published section c02, based on revision");
  }

  @Test
  void missingOptionAndUnknownRevisionAreReported() throws Exception {
    assertThat(run("answers", "publish", EXAMPLE)).isEqualTo(ExitCode.USAGE);
    ExitCode unknown = run("answers", "revert", "--section", "c02", "--to", "3", "--base", "3");
    assertThat(unknown).isEqualTo(ExitCode.INVALID_INPUT);
    assertThat(printed()).contains("WR-3121");
  }

  @Test
  void unreachableLogIsReported() throws Exception {
    final String address = log.server().address();
    log.close();
    assertThat(runAt(address, "answers", "history")).isEqualTo(ExitCode.UNAVAILABLE);
  }

  @ParameterizedTest
  @ValueSource(strings = {"nonsense", "127.0.0.1:9000", "http://", "http://127.0.0.1:-2", "ht tp"})
  void invalidLogAddressIsReported(String address) throws Exception {
    assertThat(runAt(address, "answers", "history")).isEqualTo(ExitCode.USAGE);
    assertThat(printed()).contains("--log");
  }

  // Helpers

  private ExitCode run(String... arguments) throws InterruptedException {
    return runAt(log.server().address(), arguments);
  }

  private ExitCode runAt(String address, String... arguments) throws InterruptedException {
    printed.reset();
    List<String> commandLine = new ArrayList<>(List.of(arguments));
    commandLine.addAll(List.of("--log", address));
    if (arguments[0].equals("answers")) {
      commandLine.addAll(List.of("--author", "ann", "--reason", "test"));
    }
    PrintStream out = new PrintStream(printed, true, UTF_8);
    return Main.run(commandLine.toArray(new String[0]), out, out);
  }

  private String printed() {
    return printed.toString(UTF_8);
  }

  private Path writeAnswers(String text) throws IOException {
    return Files.writeString(folder.resolve("c02.toml"), text);
  }

  private static String queueLimit(String customer, int limit) throws IOException {
    String text = Files.readString(Path.of(EXAMPLE, "answers", customer + ".toml"));
    return text.replaceFirst("queue_limit = \\d+", "queue_limit = " + limit);
  }
}
