"""Who else is there, and who does what without any agreement."""
