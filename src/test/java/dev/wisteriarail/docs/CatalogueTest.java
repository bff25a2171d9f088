package dev.wisteriarail.docs;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.result.ResultCode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks that docs/ERRORS.md and docs/EVENTS.md list every result code and event code. */
class CatalogueTest {

  private static final Path ERRORS = Path.of("docs", "ERRORS.md");
  private static final Path EVENTS = Path.of("docs", "EVENTS.md");

  @ParameterizedTest
  @EnumSource(ResultCode.class)
  void resultCodeIsDocumented(ResultCode code) throws IOException {
    String row =
        "| %s | %s | %d | %s |"
            .formatted(code.label(), code.name(), code.httpStatus(), code.summary());
    assertThat(Files.readString(ERRORS)).contains(row);
  }

  @ParameterizedTest
  @EnumSource(EventCode.class)
  void eventCodeIsDocumented(EventCode event) throws IOException {
    String row = "| %d | %s |".formatted(event.number(), event.name());
    assertThat(Files.readString(EVENTS)).contains(row);
  }

  @Test
  void numbersAreUnique() {
    Set<Integer> codes = new HashSet<>();
    Arrays.stream(ResultCode.values()).forEach(code -> codes.add(code.number()));
    Set<Integer> events = new HashSet<>();
    Arrays.stream(EventCode.values()).forEach(event -> events.add(event.number()));
    assertThat(codes).hasSize(ResultCode.values().length);
    assertThat(events).hasSize(EventCode.values().length);
  }
}
