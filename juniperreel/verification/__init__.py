"""What crossed the sockets, recorded, and the five rules judged from that alone."""
