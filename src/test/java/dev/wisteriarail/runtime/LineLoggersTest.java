package dev.wisteriarail.runtime;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LineLoggersTest {

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private LineLoggers loggers;

  @BeforeEach
  void createLoggers() {
    loggers = new LineLoggers(output, InstantSource.fixed(Instant.parse("2026-12-04T07:00:00Z")));
  }

  private String written() {
    return output.toString(StandardCharsets.UTF_8);
  }

  @Test
  void writesTheFieldsOfAnEventInOrder() {
    StringMapMessage message = new StringMapMessage();
    message.put("title", "a \"name\"");
    message.put("event", "101");
    loggers.getLogger("wisteriarail.events").info(message);
    assertThat(written())
        .isEqualTo(
            "{\"time\":\"2026-12-04T07:00:00.000Z\",\"level\":\"INFO\","
                + "\"logger\":\"wisteriarail.events\","
                + "\"message\":{\"event\":\"101\",\"title\":\"a \\\"name\\\"\"}}"
                + System.lineSeparator());
  }

  @Test
  void writesTextAndTheTraceOfFailures() {
    loggers.getLogger("a").warn("part {} failed", 3, new IllegalStateException("broken"));
    assertThat(written()).contains("\"level\":\"WARN\",\"logger\":\"a\"");
    assertThat(written()).contains("\"message\":{\"text\":\"part 3 failed\"}");
    assertThat(written()).contains("\"exception\":\"java.lang.IllegalStateException: broken");
    assertThat(written().lines().count()).isEqualTo(1);
  }

  @Test
  void leavesOutWhatIsBelowTheLevel() {
    Logger jetty = loggers.getLogger("org.eclipse.jetty.io.ManagedSelector");
    jetty.info("selected");
    loggers.getLogger("a").debug("detail");
    assertThat(written()).isEmpty();
    jetty.warn("failed");
    assertThat(written()).isNotEmpty();
  }

  @Test
  void givesOneLoggerForEachName() {
    assertThat(loggers.getLogger("a")).isSameInstanceAs(loggers.getLogger("a"));
    assertThat(loggers.hasLogger("a")).isTrue();
    assertThat(loggers.hasLogger("b")).isFalse();
  }
}
