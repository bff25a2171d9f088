package dev.wisteriarail.peer;

import java.util.concurrent.BlockingDeque;
import java.util.concurrent.LinkedBlockingDeque;

/**
 * Bounded queue of the frames to one peer; urgent frames are sent before all others.
 *
 * <p>If the queue is full, an urgent frame evicts the last frame of the queue, and any other frame
 * evicts the first one. Thread-safe.
 */
final class FrameQueue {

  private final BlockingDeque<OutgoingFrame> frames;

  private FrameQueue(int limit) {
    frames = new LinkedBlockingDeque<>(limit);
  }

  /** Creates an empty queue that holds at most {@code limit} frames. */
  static FrameQueue create(int limit) {
    return new FrameQueue(limit);
  }

  /** Adds a frame, at the front of the queue if it is urgent; evicts another one if necessary. */
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

  /** Removes and returns the next frame; waits until there is one. */
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
