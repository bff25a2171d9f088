package dev.wisteriarail.core.request;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.result.Execution;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A node whose drain limit has expired ends its pending requests. */
final class EndingNodeTest {

  private static final int REQUESTS = 60;

  private final RequestFleet fleet = Requests.fleet(3);

  /**
   * Guards against requests without any outcome: a gateway node whose drain limit expired once left
   * its in-flight requests unanswered.
   */
  @ParameterizedTest
  @EnumSource(
      value = RequestFleet.LogFault.class,
      names = {"NONE", "REFUSED"})
  void requestLeftWhenTheDrainExpiresEndsOnceAndTruthfully(RequestFleet.LogFault fault) {
    fleet.fault = fault;
    for (int i = 0; i < REQUESTS; i++) {
      fleet.send(2, Requests.order("q" + i, "k" + i));
    }
    final Set<RequestId> dispatchedRequests =
        fleet.dispatches.stream()
            .map(dispatch -> dispatch.request().id())
            .collect(Collectors.toSet());
    assertThat(dispatchedRequests.isEmpty()).isEqualTo(fault == RequestFleet.LogFault.REFUSED);
    fleet.feed(RequestFleet.node(2), new Event.DrainRequested());
    assertThat(dispatchedRequests.size()).isLessThan(REQUESTS);
    final int dispatchCount = fleet.dispatches.size();
    fleet.feed(RequestFleet.node(2), new Event.DrainExpired());
    fleet.settle();
    for (int i : IntStream.range(0, REQUESTS).toArray()) {
      RequestId request = RequestId.of("q" + i);
      List<RequestOutcome> endings = fleet.endings(request);
      assertThat(endings).hasSize(1);
      Execution execution = ((RequestOutcome.Refused) endings.getFirst()).refusal().execution();
      assertThat(execution)
          .isEqualTo(
              dispatchedRequests.contains(request) ? Execution.MAY_HAVE_RUN : Execution.NOT_RUN);
    }
    assertThat(fleet.dispatches).hasSize(dispatchCount);
  }
}
