package dev.wisteriarail.answers;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AnswersReaderTest {

  private static final String COMPLETE =
      """
      [[customer]]
      id = "c1"
      [[model]]
      id = "m1"
      customer = "c1"
      memory_mib = 16384
      load_memory_ms = 100
      load_disk_ms = 200
      load_remote_ms = 400
      """;

  @TempDir Path folder;

  @ParameterizedTest
  @CsvSource({"cwmtawe, 100, 120, 20, 13, 4, 4, 7.0", "lonchera, 50, 40, 12, 6, 3, 4, 5.5"})
  void examplesHaveTheSizesOfTheBrief(
      String deployment,
      int models,
      int adapters,
      int customers,
      long modelRunners,
      long applicationRunners,
      int kinds,
      double loadsPerSecond)
      throws SettingsException {
    AnswerSet answers = AnswersReader.read(List.of(Path.of("examples", deployment)));
    assertThat(answers.problems()).isEmpty();
    Configuration configuration = answers.configuration();
    assertThat(configuration.models()).hasSize(models);
    assertThat(configuration.adapters()).hasSize(adapters);
    assertThat(configuration.customers()).hasSize(customers);
    assertThat(configuration.kinds()).hasSize(kinds);
    assertThat(configuration.deployment().loadsPerSecond()).isEqualTo(loadsPerSecond);
    assertThat(configuration.deployment().concurrentLoads()).isEqualTo(4);
    assertThat(countRunners(configuration, RunnerRole.MODEL)).isEqualTo(modelRunners);
    assertThat(countRunners(configuration, RunnerRole.APPLICATION)).isEqualTo(applicationRunners);
    for (ModelSpec model : configuration.models().values()) {
      int number = Integer.parseInt(model.id().value().substring(1));
      String owner = "c%02d".formatted((number - 1) % customers + 1);
      assertThat(model.customer()).isEqualTo(CustomerId.of(owner));
    }
  }

  private static long countRunners(Configuration configuration, RunnerRole role) {
    return configuration.runners().values().stream()
        .filter(runner -> runner.role() == role)
        .count();
  }

  @ParameterizedTest
  @CsvSource({
    "'[[model', ANSWERS_SYNTAX, 0, ''",
    "'[[adapter]]\nid = 5', ANSWER_VALUE_INVALID, 11, adapter.0.id",
    "'[[kind]]\nid = \"k\"\ndeadlin_ms = 5', ANSWER_KEY_UNKNOWN, 12, kind.0.deadlin_ms",
    "'[[kind]]\nid = \"k\"\nurgency = \"soon\"', ANSWER_VALUE_INVALID, 12, kind.0.urgency",
    "'[[customer]]\nid = \"c1\"', IDENTIFIER_DUPLICATE, 11, customer.1.id",
    "'[[customer]]\nid = \"c 2\"', IDENTIFIER_INVALID, 11, customer.1.id",
    "'[[customer]]\nid = \"c2\"\nweight = 0', ANSWER_OUT_OF_BOUNDS, 12, customer.1.weight",
    "'[[service]]\nid = \"s\"\nrunners = [\"r9\"]', REFERENCE_UNKNOWN, 12, service.0.runners.0",
    "'checkpoints_disk = [\"r9\"]', ANSWER_DOUBTFUL, 10, model.0.checkpoints_disk",
  })
  void problemNamesCodeLineKeyAndRemedy(String added, ResultCode code, int line, String key)
      throws IOException, SettingsException {
    Path file = write("team.toml", COMPLETE + added);
    AnswerSet answers = AnswersReader.read(List.of(folder));
    AnswerProblem problem =
        answers.problems().stream()
            .filter(found -> found.code() == code && found.key().equals(key))
            .findFirst()
            .orElseThrow();
    assertThat(problem.file()).isEqualTo(file.toString());
    assertThat(problem.line()).isEqualTo(line);
    assertThat(problem.remedy()).isNotEmpty();
    assertThat(answers.isValid()).isEqualTo(code == ResultCode.ANSWER_DOUBTFUL);
  }

  @Test
  void clashOfTwoTeamsNamesBothSections() throws IOException, SettingsException {
    write("a.toml", COMPLETE);
    write("b.toml", COMPLETE);
    AnswerSet answers = AnswersReader.read(List.of(folder));
    assertThat(answers.problems()).hasSize(2);
    assertThat(answers.problems().getFirst().describe()).contains("b.toml:2: WR-3113 customer.0");
    assertThat(answers.problems().getFirst().message()).contains("section a");
  }

  private Path write(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text);
  }
}
