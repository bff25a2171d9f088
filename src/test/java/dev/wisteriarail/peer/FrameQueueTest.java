package dev.wisteriarail.peer;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.route.CallerBounds;
import dev.wisteriarail.core.route.GatewayConfiguration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the queue of frames to a peer that reads slowly. */
final class FrameQueueTest {

  private static final int LIMIT = 4;

  private final FrameQueue queue = FrameQueue.create(LIMIT);

  private void offer(int frame, boolean urgent) {
    queue.offer(OutgoingFrame.of("Beat", new byte[] {(byte) frame}), urgent);
  }

  private List<Integer> drainFrames() throws InterruptedException {
    List<Integer> frames = new ArrayList<>();
    while (!queue.isEmpty()) {
      frames.add((int) queue.take().bytes()[0]);
    }
    return frames;
  }

  @Test
  void urgentFrameGoesBeforeWhatWaits() throws Exception {
    offer(1, false);
    offer(2, false);
    offer(9, true);
    assertThat(drainFrames()).containsExactly(9, 1, 2).inOrder();
  }

  @Test
  void fullQueueKeepsTheNewestAndWhatIsUrgent() throws Exception {
    for (int frame = 1; frame <= 6; frame++) {
      offer(frame, false);
    }
    offer(9, true);
    assertThat(queue.size()).isEqualTo(LIMIT);
    assertThat(drainFrames()).containsExactly(9, 3, 4, 5).inOrder();
  }

  @Test
  void configurationsAreUrgent() {
    GatewayConfiguration configuration =
        GatewayConfiguration.withoutTenants(7, List.of(), Map.of(), CallerBounds.DEFAULT);
    assertThat(new FleetMessage.ConfigurationTold(configuration).urgent()).isTrue();
    assertThat(FleetMessage.CrashTold.ofSound(List.of()).urgent()).isFalse();
  }
}
