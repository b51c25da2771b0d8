"""The entry process, cardamomloft."""
