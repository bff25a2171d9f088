package dev.wisteriarail.replay;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.wisteriarail.answers.AnswersReader;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that trace and fault files are validated and that errors name the line and its problem. */
class TraceReaderTest {

  private static final Path DEPLOYMENT = Path.of("examples", "cwmtawe");
  private static final String GOOD =
      "{\"at_ms\":5,\"customer\":\"c01\",\"model\":\"m001\",\"adapter\":null,"
          + "\"kind\":\"fault-summary\",\"key\":null,\"tokens_in\":300,\"tokens_out\":120}";

  @TempDir private Path folder;

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "m001 | m999 | TRACE_NAME_UNKNOWN | m999",
        "m001 | m002 | TRACE_NAME_UNKNOWN | m002",
        "c01 | c99 | TRACE_NAME_UNKNOWN | c99",
        "fault-summary | fault | TRACE_NAME_UNKNOWN | fault",
        "\"adapter\":null | \"adapter\":\"a999\" | TRACE_NAME_UNKNOWN | a999",
        "\"at_ms\":5 | \"at_ms\":4 | TRACE_OUT_OF_ORDER | before 5",
        "\"at_ms\":5 | \"at_ms\":-1 | TRACE_LINE_INVALID | at_ms",
        "\"tokens_out\":120 | \"tokens_out\":0 | TRACE_LINE_INVALID | tokens_out",
        "\"tokens_out\":120 | \"tokens\":1 | TRACE_LINE_INVALID | tokens_out",
        "} | ` ` | TRACE_LINE_INVALID | malformed",
      })
  void badLineIsReportedWithItsNumberAndCode(
      String part, String replacement, ResultCode code, String expectedText) {
    SettingsException refused =
        assertThrows(
            SettingsException.class, () -> read(GOOD, GOOD.replace(part.trim(), replacement)));
    assertThat(refused.code()).isEqualTo(code);
    assertThat(refused.location()).contains("line 2");
    assertThat(refused.getMessage()).contains(expectedText);
  }

  @Test
  void goodTraceIsReadWhole() throws Exception {
    List<TraceLine> lines = read(GOOD, GOOD);
    assertThat(lines).hasSize(2);
    assertThat(lines.getFirst().tokensIn()).isEqualTo(300);
  }

  @ParameterizedTest
  @CsvSource({
    "runner-lost,r99,0,TRACE_NAME_UNKNOWN",
    "flood,r01,0,FAULT_LINE_INVALID",
    "slow-weight-store,,0.5,FAULT_LINE_INVALID"
  })
  void badFaultIsReported(String fault, String runner, double factor, ResultCode code)
      throws Exception {
    Path file = folder.resolve("faults");
    JsonLines.write(file, List.of(new FaultLine(0, 1, fault, runner, factor)));
    SettingsException refused =
        assertThrows(
            SettingsException.class,
            () -> TraceReader.readFaults(file, AnswersReader.readConfiguration(DEPLOYMENT)));
    assertThat(refused.code()).isEqualTo(code);
  }

  private List<TraceLine> read(String... lines) throws Exception {
    Path file = folder.resolve("trace");
    Files.write(file, List.of(lines));
    return TraceReader.readTrace(file, AnswersReader.readConfiguration(DEPLOYMENT));
  }
}
