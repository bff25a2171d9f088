package dev.wisteriarail.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.result.PeerException;
import dev.wisteriarail.core.route.CallerBounds;
import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.HostedModel;
import dev.wisteriarail.core.route.ServicePool;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests frames between nodes, plain and compressed. */
final class FrameCodecTest {

  private static PeerFrame frame(FleetMessage message) {
    return new PeerFrame(PeerFrame.VERSION, NodeId.of("n1"), Incarnation.of(1), message);
  }

  private static FleetMessage configuration(int models) {
    List<HostedModel> hosted =
        IntStream.range(0, models)
            .mapToObj(
                model ->
                    new HostedModel(
                        "m" + model,
                        72_700,
                        Duration.ofSeconds(13),
                        Duration.ofMillis(1_200),
                        Duration.ofMillis(630),
                        2,
                        66))
            .toList();
    EngineSpec engine = new EngineSpec(16, 88_386, 200_000, 8, 19, hosted);
    return new FleetMessage.ConfigurationTold(
        GatewayConfiguration.withoutTenants(
            7,
            List.of(),
            Map.of("s", new ServicePool("s", 700, Optional.of(engine))),
            CallerBounds.DEFAULT));
  }

  private static PeerFrame read(byte[] content) throws IOException, PeerException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    FrameCodec.write(new DataOutputStream(bytes), content);
    return FrameCodec.read(new DataInputStream(new ByteArrayInputStream(bytes.toByteArray())));
  }

  private static byte[] compressed(byte[] content) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(1);
    Deflater deflater = new Deflater(Deflater.BEST_COMPRESSION, true);
    try (DeflaterOutputStream out = new DeflaterOutputStream(bytes, deflater)) {
      out.write(content);
    } finally {
      deflater.end();
    }
    return bytes.toByteArray();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 191, 1_400})
  void whatIsReadIsWhatWasWritten(int models) throws Exception {
    PeerFrame written = frame(configuration(models));
    assertThat(read(FrameCodec.encode(written))).isEqualTo(written);
  }

  /** The configuration is sent to every node of a fleet over links of a few Mbit/s. */
  @Test
  void configurationTakesLessThanOneFifthOfItsLength() throws Exception {
    PeerFrame written = frame(configuration(191));
    int plain = Codecs.messagePack().writeValueAsBytes(written).length;
    assertThat(FrameCodec.encode(written).length).isLessThan(plain / 5);
  }

  @Test
  void shortMessagesAreNotCompressed() throws Exception {
    assertThat(FrameCodec.encode(frame(FleetMessage.CrashTold.ofSound(List.of())))[0]).isEqualTo(0);
  }

  /** A small compressed frame that expands beyond the limit must be rejected, not buffered. */
  @Test
  void contentBeyondTheBoundOfFramesIsRefused() throws Exception {
    byte[] bomb = compressed(new byte[64 * 1024 * 1024]);
    assertThat(bomb.length).isLessThan(FrameCodec.MAX_FRAME_BYTES);
    assertThrows(PeerException.class, () -> read(bomb));
  }

  @ParameterizedTest
  @MethodSource("incompleteFrames")
  void incompleteFrameIsRefused(PeerFrame incomplete) throws Exception {
    byte[] content = FrameCodec.encode(incomplete);
    assertThrows(PeerException.class, () -> read(content));
  }

  static Stream<PeerFrame> incompleteFrames() {
    FleetMessage message = FleetMessage.CrashTold.ofSound(List.of());
    return Stream.of(
        null,
        new PeerFrame(PeerFrame.VERSION, null, Incarnation.of(1), message),
        new PeerFrame(PeerFrame.VERSION, NodeId.of("n1"), null, message),
        new PeerFrame(PeerFrame.VERSION, NodeId.of("n1"), Incarnation.of(1), null));
  }

  @Test
  void contentThatEndsEarlyOrHasAnUnknownFormIsRefused() throws Exception {
    byte[] whole = FrameCodec.encode(frame(configuration(191)));
    byte[] truncated = Arrays.copyOf(whole, whole.length / 2);
    assertThrows(PeerException.class, () -> read(truncated));
    whole[0] = 9;
    assertThrows(PeerException.class, () -> read(whole));
  }
}
