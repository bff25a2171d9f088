package dev.wisteriarail.peer;

import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.result.PeerException;
import dev.wisteriarail.core.result.ResultCode;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;

/**
 * Reads and writes frames: a length of four bytes, big endian, then that many bytes of MessagePack.
 *
 * <p>Stateless and thread-safe.
 */
final class FrameCodec {

  /** The longest frame accepted, in bytes. */
  static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

  private FrameCodec() {}

  /** Encodes the content of a frame. */
  static byte[] encode(PeerFrame frame) throws IOException {
    return Codecs.messagePack().writeValueAsBytes(frame);
  }

  static void write(DataOutputStream out, byte[] bytes) throws IOException {
    out.writeInt(bytes.length);
    out.write(bytes);
    out.flush();
  }

  static PeerFrame read(DataInputStream in) throws IOException, PeerException {
    int length = in.readInt();
    if (length <= 0 || length > MAX_FRAME_BYTES) {
      throw new PeerException(
          ResultCode.PEER_FRAME_INVALID, "frame", "length " + length + " is out of range");
    }
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("frame cut short");
    }
    PeerFrame frame = decode(bytes);
    if (frame.version() != PeerFrame.VERSION) {
      throw new PeerException(
          ResultCode.PEER_FRAME_INVALID, "frame", "version " + frame.version() + " is unknown");
    }
    return frame;
  }

  private static PeerFrame decode(byte[] bytes) throws PeerException {
    try {
      return Codecs.messagePack().readValue(bytes, PeerFrame.class);
    } catch (IOException malformed) {
      throw new PeerException(
          ResultCode.PEER_FRAME_INVALID, "frame", "content is malformed", malformed);
    }
  }
}
