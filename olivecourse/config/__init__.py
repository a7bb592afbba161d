"""Configuration of a gateway: its files, settings, inventory and discovery events."""
