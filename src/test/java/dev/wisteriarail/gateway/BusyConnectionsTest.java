package dev.wisteriarail.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Which connections may not be closed as idle. */
final class BusyConnectionsTest {

  private final BusyConnections<String> connections = new BusyConnections<>();

  @Test
  void connectionWithoutRequestIsIdle() {
    connections.begin("a");
    connections.end("a");
    assertThat(connections.isBusy("a")).isFalse();
    assertThat(connections.isBusy("b")).isFalse();
  }

  @Test
  void nextRequestBeginsBeforeTheEndOfTheLastAnswerIsNoted() {
    connections.begin("a");
    connections.begin("a");
    connections.end("a");
    assertThat(connections.isBusy("a")).isTrue();
  }
}
