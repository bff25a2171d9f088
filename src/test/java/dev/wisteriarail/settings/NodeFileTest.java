package dev.wisteriarail.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.wisteriarail.core.result.SettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NodeFileTest {

  private static final String COMPLETE =
      """
      [node]
      id = "n1"
      failure_domain = "fd1"
      [log]
      address = "http://127.0.0.1:9000"
      [vm_list]
      address = "http://127.0.0.1:9001"
      """;

  @Test
  void completeFileNeedsNoOtherKeys() throws SettingsException {
    NodeFile file = NodeFile.from(TomlDocument.parse("node.toml", COMPLETE));
    assertThat(file.node().value()).isEqualTo("n1");
    assertThat(file.peer().port()).isEqualTo(7_070);
  }

  @ParameterizedTest
  @CsvSource({
    "'[peer]\nport = 70000', node.toml:9: peer.port: a whole number is required",
    "'[peer]\nprot = 7070', node.toml:9: peer.prot: the key is unknown",
    "'[timings]\nplan_ms = \"soon\"', node.toml:9: timings.plan_ms: a whole number is required",
  })
  void problemNamesLineAndKey(String added, String expected) throws SettingsException {
    TomlDocument toml = TomlDocument.parse("node.toml", COMPLETE + added);
    SettingsException failure = assertThrows(SettingsException.class, () -> NodeFile.from(toml));
    assertThat(failure.getMessage()).contains(expected);
  }

  @Test
  void allProblemsAreReportedAtOnce() throws SettingsException {
    TomlDocument toml = TomlDocument.parse("node.toml", "[http]\nport = -1\n");
    SettingsException failure = assertThrows(SettingsException.class, () -> NodeFile.from(toml));
    assertThat(failure.getMessage()).startsWith("5 problems");
  }
}
