package dev.wisteriarail.peer;

import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.result.PeerException;
import dev.wisteriarail.core.result.ResultCode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.Inflater;
import java.util.zip.InflaterInputStream;

/**
 * Reads and writes frames. A frame is a length as four bytes, big endian, followed by that many
 * bytes. The first of these is the encoding of the rest: MessagePack, or MessagePack compressed
 * with DEFLATE (RFC 1951).
 *
 * <p>Long messages repeat the names of fields, models and runners: a configuration of 191 models
 * compresses to a tenth of its length. Such messages are sent to every node, and traffic between
 * zones is charged by the byte.
 *
 * <p>Stateless and thread-safe.
 */
final class FrameCodec {

  /** Maximum length of a frame and of its uncompressed content, in bytes. */
  static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

  /** Length from which content is compressed, in bytes; shorter content gains little. */
  private static final int COMPRESSION_THRESHOLD_BYTES = 600;

  private static final byte PLAIN = 0;
  private static final byte COMPRESSED = 1;

  private FrameCodec() {}

  /** Encodes a frame without its length prefix. */
  static byte[] encode(PeerFrame frame) throws IOException {
    byte[] content = Codecs.messagePack().writeValueAsBytes(frame);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(content.length + 1);
    if (content.length < COMPRESSION_THRESHOLD_BYTES) {
      bytes.write(PLAIN);
      bytes.write(content);
      return bytes.toByteArray();
    }
    bytes.write(COMPRESSED);
    Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
    try (DeflaterOutputStream out = new DeflaterOutputStream(bytes, deflater)) {
      out.write(content);
    } finally {
      deflater.end();
    }
    return bytes.toByteArray();
  }

  /** Encodes and decodes a frame, so that the classes involved are loaded and the code is warm. */
  static void warmUp(PeerFrame frame) throws IOException, PeerException {
    decode(encode(frame));
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
      throw new EOFException("truncated frame");
    }
    PeerFrame frame = decode(bytes);
    if (frame.version() != PeerFrame.VERSION) {
      throw new PeerException(
          ResultCode.PEER_FRAME_INVALID, "frame", "version " + frame.version() + " is unknown");
    }
    return frame;
  }

  /** Returns the uncompressed content; fails if it is longer than {@link #MAX_FRAME_BYTES}. */
  private static byte[] uncompressedContent(byte[] bytes) throws IOException {
    ByteArrayInputStream payload = new ByteArrayInputStream(bytes, 1, bytes.length - 1);
    switch (bytes[0]) {
      case PLAIN -> {
        return payload.readAllBytes();
      }
      case COMPRESSED -> {
        Inflater inflater = new Inflater(true);
        try (InflaterInputStream in = new InflaterInputStream(payload, inflater)) {
          byte[] content = in.readNBytes(MAX_FRAME_BYTES + 1);
          if (content.length > MAX_FRAME_BYTES) {
            throw new IOException("the content is longer than " + MAX_FRAME_BYTES + " bytes");
          }
          return content;
        } finally {
          inflater.end();
        }
      }
      default -> throw new IOException("encoding " + bytes[0] + " is unknown");
    }
  }

  private static PeerFrame decode(byte[] bytes) throws PeerException {
    try {
      PeerFrame frame = Codecs.messagePack().readValue(uncompressedContent(bytes), PeerFrame.class);
      if (frame == null
          || frame.from() == null
          || frame.incarnation() == null
          || frame.message() == null) {
        throw new PeerException(ResultCode.PEER_FRAME_INVALID, "frame", "content is incomplete");
      }
      return frame;
    } catch (IOException malformed) {
      throw new PeerException(
          ResultCode.PEER_FRAME_INVALID, "frame", "content is malformed", malformed);
    }
  }
}
