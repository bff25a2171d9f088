package dev.wisteriarail.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which connections are closed as idle and which requests may be served. */
final class BusyConnectionsTest {

  private final Set<String> closed = new HashSet<>();
  private final BusyConnections<String> connections =
      BusyConnections.create(each -> !closed.contains(each));

  @Test
  void connectionWithoutRequestIsIdle() {
    connections.requestStarted("a");
    connections.requestEnded("a");
    assertThat(connections.isBusy("a")).isFalse();
    assertThat(connections.isBusy("b")).isFalse();
  }

  @Test
  void nextRequestBeginsBeforeTheEndOfTheLastAnswerIsNoted() {
    connections.requestStarted("a");
    connections.requestStarted("a");
    connections.requestEnded("a");
    assertThat(connections.isBusy("a")).isTrue();
  }

  /** Guards against serving a request whose connection is closing: its response would be lost. */
  @Test
  void requestThatCrossesTheClosingOfItsConnectionIsNotServed() {
    connections.closeIfIdle("a", closed::add);
    assertThat(connections.requestStarted("a")).isFalse();
  }

  @Test
  void requestThatBeginsWhileItsConnectionIsClosedIsNotServed() {
    List<Boolean> served = new ArrayList<>();
    connections.closeIfIdle("a", each -> served.add(connections.requestStarted(each)));
    assertThat(served).containsExactly(false);
  }

  @Test
  void connectionWithRequestIsNotClosedAndServesOn() {
    assertThat(connections.requestStarted("a")).isTrue();
    connections.closeIfIdle("a", closed::add);
    assertThat(closed).isEmpty();
    assertThat(connections.requestStarted("a")).isTrue();
  }
}
