"""gRPC over HTTP/2 on trio, both sides. Knows no databases."""
