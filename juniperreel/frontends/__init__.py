"""Client protocols: parse, hand to the driver, answer. No policy here."""
