"""Configuration of a gateway: its configuration file, settings, inventory of stores, and discovery events."""
