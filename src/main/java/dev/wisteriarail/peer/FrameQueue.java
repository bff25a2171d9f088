package dev.wisteriarail.peer;

import java.util.concurrent.BlockingDeque;
import java.util.concurrent.LinkedBlockingDeque;

/**
 * Frames that wait for one peer, in the order in which they go out: urgent ones first.
 *
 * <p>Where it is full, an urgent frame takes the place of the last one, any other frame that of the
 * first. Thread-safe.
 */
final class FrameQueue {

  private final BlockingDeque<OutgoingFrame> frames;

  private FrameQueue(int limit) {
    frames = new LinkedBlockingDeque<>(limit);
  }

  /** Returns an empty queue that holds up to a number of frames. */
  static FrameQueue create(int limit) {
    return new FrameQueue(limit);
  }

  void offer(OutgoingFrame frame, boolean urgent) {
    if (urgent) {
      while (!frames.offerFirst(frame)) {
        frames.pollLast();
      }
    } else {
      while (!frames.offer(frame)) {
        frames.poll();
      }
    }
  }

  /** Takes the next frame; waits for one. */
  OutgoingFrame take() throws InterruptedException {
    return frames.take();
  }

  int size() {
    return frames.size();
  }

  boolean isEmpty() {
    return frames.isEmpty();
  }

  void clear() {
    frames.clear();
  }
}
