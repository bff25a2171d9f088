package dev.wisteriarail.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which connections may not be closed as idle. */
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

  /** A request that crossed the closing of its connection ran, and its answer was lost. */
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
